package admission

import "switchfork/internal/hashing"

// retryIndex recognizes arrivals that are attempts of the same request, and finds the earlier attempt of a retry. An attempt is
// here one try of the client, either its first or a retry. The controller consults retryIndex for each arrival.
type retryIndex struct {
	classes  []RequestClass
	hashSeed uint64
	byKey    map[uint64]*trackedRequest // the client's latest attempt of each open request, by retry key
}

func newRetryIndex(classes []RequestClass, hashSeed uint64) retryIndex {
	return retryIndex{classes: classes, hashSeed: hashSeed, byKey: map[uint64]*trackedRequest{}}
}

// keyOf returns the retry key, which is the same for all attempts of a request. In a keyed class it is a hash of
// tenant, class and idempotency key. In other classes it is a hash of tenant, class, client, the object that the request concerns
// and the request's content, because a client may ask several things about one object. The retry key of a request with neither key
// nor object identifies only the client's reservation; the request is never found by it.
func (x *retryIndex) keyOf(arrival *Arrival) uint64 {
	hash := hashing.Mix64(x.hashSeed ^ uint64(arrival.Tenant)<<32 ^ uint64(arrival.Class))
	switch {
	case arrival.Key != 0 && x.classes[arrival.Class].Keyed:
		return hashing.Mix64(hash ^ arrival.Key)
	case arrival.Key != 0:
		object := hashing.Mix64(hashing.Mix64(hash^arrival.Key) + arrival.Client)
		return hashing.Mix64(object ^ arrival.Content.short())
	}
	return hashing.Mix64(hashing.Mix64(hash) + arrival.Client)
}

// register records a request, so that earlierAttempt finds it for later attempts. A request without a key cannot be
// distinguished from other requests of its client, and is not registered.
func (x *retryIndex) register(request *trackedRequest) {
	if request.Key != 0 {
		x.byKey[request.retryKey] = request
	}
}

// unregister removes a request, unless a later attempt has been registered under its retry key.
func (x *retryIndex) unregister(request *trackedRequest) {
	if request.Key != 0 && x.byKey[request.retryKey] == request {
		delete(x.byKey, request.retryKey)
	}
}

// earlierAttempt returns the earlier attempt of a request that has arrived, or nil if there is none.
//
// A client may send several different requests without an idempotency key for the same object at the same time. They count as
// attempts of one request only if the client marked them as retries.
func (x *retryIndex) earlierAttempt(request *trackedRequest) *trackedRequest {
	isIdentified := request.IsRetry || x.classes[request.Class].Keyed
	if request.Key == 0 || !isIdentified {
		return nil
	}
	return x.byKey[request.retryKey]
}
