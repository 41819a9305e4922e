package admission

import "testing"

// Attempts of the same request have the same retry key, and different requests have different retry keys.
func TestRetryKeyIdentifiesRequest(t *testing.T) {
	index := newRetryIndex(testClasses(), 7)
	base := Arrival{ID: 1, Tenant: 1, Client: 5, Class: keyedClass, Key: 9}
	for _, test := range []struct {
		name   string
		change func(*Arrival)
		isSame bool
	}{
		{"another attempt", func(a *Arrival) { a.ID = 2; a.IsRetry = true; a.Bytes = 3 }, true},
		{"another client with the idempotency key", func(a *Arrival) { a.Client = 6 }, true},
		{"another idempotency key", func(a *Arrival) { a.Key = 8 }, false},
		{"another tenant", func(a *Arrival) { a.Tenant = 2 }, false},
		{"another class", func(a *Arrival) { a.Class = unkeyedClass }, false},
		{"no key", func(a *Arrival) { a.Key = 0 }, false},
	} {
		changed := base
		test.change(&changed)
		if isSame := index.keyOf(&changed) == index.keyOf(&base); isSame != test.isSame {
			t.Errorf("%s: got same retry key %t, want %t", test.name, isSame, test.isSame)
		}
	}
	object := Arrival{Client: 5, Class: unkeyedClass, Key: 9}
	otherClient := object
	otherClient.Client = 6
	if index.keyOf(&object) == index.keyOf(&otherClient) {
		t.Error("requests of two clients that concern the same object have the same retry key")
	}
}

// An earlier attempt is found by its idempotency key, or, without one, only if the later request is marked as a retry. An attempt
// that has been unregistered is not found.
func TestEarlierAttemptIsFound(t *testing.T) {
	index := newRetryIndex(testClasses(), 7)
	newAttempt := func(arrival Arrival) *trackedRequest {
		return &trackedRequest{Arrival: arrival, retryKey: index.keyOf(&arrival)}
	}
	for _, test := range []struct {
		name    string
		arrival Arrival
		isRetry bool
		isFound bool
	}{
		{"idempotency key", Arrival{Class: keyedClass, Key: 1}, false, true},
		{"object", Arrival{Class: unkeyedClass, Key: 1}, false, false},
		{"object, marked as a retry", Arrival{Class: unkeyedClass, Key: 1}, true, true},
		{"no key, marked as a retry", Arrival{Class: unkeyedClass}, true, false},
	} {
		first := newAttempt(test.arrival)
		index.register(first)
		test.arrival.IsRetry = test.isRetry
		retry := newAttempt(test.arrival)
		if isFound := index.earlierAttempt(retry) == first; isFound != test.isFound {
			t.Errorf("%s: got earlier attempt found %t, want %t", test.name, isFound, test.isFound)
		}
		index.register(retry)
		index.unregister(first)
		if test.arrival.Key != 0 && index.byKey[retry.retryKey] != retry {
			t.Errorf("%s: unregistering the earlier attempt also unregistered the retry", test.name)
		}
		index.unregister(retry)
		if len(index.byKey) != 0 {
			t.Errorf("%s: got %d registered attempts at the end, want none", test.name, len(index.byKey))
		}
	}
}
