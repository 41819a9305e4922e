package admission

import "switchfork/internal/hashing"

// retryIndex decides which arrivals are attempts of one request, from what identifies the request, and finds the earlier
// attempt that a retry belongs to. The controller asks it for each arrival.
type retryIndex struct {
	classes  []RequestClass
	hashSeed uint64
	byKey    map[uint64]*trackedRequest // the latest attempt of each request that is open
}

func newRetryIndex(classes []RequestClass, hashSeed uint64) retryIndex {
	return retryIndex{classes: classes, hashSeed: hashSeed, byKey: map[uint64]*trackedRequest{}}
}

// keyOf returns the key that all attempts of one request have in common: of the idempotency key where the class has one,
// else of the object that the request concerns together with the client. A request without either is never found by
// its retry key; the key then only identifies the client's reservation.
func (x *retryIndex) keyOf(arrival *Arrival) uint64 {
	hash := hashing.Mix64(x.hashSeed ^ uint64(arrival.Tenant)<<32 ^ uint64(arrival.Class))
	switch {
	case arrival.Key != 0 && x.classes[arrival.Class].Keyed:
		return hashing.Mix64(hash ^ arrival.Key)
	case arrival.Key != 0:
		return hashing.Mix64(hashing.Mix64(hash^arrival.Key) + arrival.Client)
	}
	return hashing.Mix64(hashing.Mix64(hash) + arrival.Client)
}

// register makes a request known to its later attempts. One without a key cannot be distinguished from its client's other requests
// and is not registered.
func (x *retryIndex) register(request *trackedRequest) {
	if request.Key != 0 {
		x.byKey[request.retryKey] = request
	}
}

// unregister forgets a request, unless its retry key belongs to a later attempt by now.
func (x *retryIndex) unregister(request *trackedRequest) {
	if request.Key != 0 && x.byKey[request.retryKey] == request {
		delete(x.byKey, request.retryKey)
	}
}

// earlierAttempt returns the earlier attempt of the request that has arrived; nil: there is none.
//
// Requests without an idempotency key that concern one object may come from one client at the same time and be meant
// apart, so they are attempts of one request only where the client marked them as retries.
func (x *retryIndex) earlierAttempt(request *trackedRequest) *trackedRequest {
	isIdentified := request.IsRetry || x.classes[request.Class].Keyed
	if request.Key == 0 || !isIdentified {
		return nil
	}
	return x.byKey[request.retryKey]
}
