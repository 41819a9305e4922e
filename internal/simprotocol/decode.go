package simprotocol

import "switchfork/internal/policy"

// endpointEntryBytes is the encoded length of one endpoint in a list, in bytes.
const endpointEntryBytes = 25

// endpointLists holds endpoint lists by number. The simulator sends a list before the endpoint updates that refer to
// the list by its number.
type endpointLists map[int][]policy.Endpoint

// decodeEvent decodes the fields of an event that follow the instance number. This function and the functions below have
// to read the fields in the order that the protocol defines.
func decodeEvent(kind eventKind, r *reader, lists endpointLists) (policy.Event, error) {
	var event policy.Event
	switch kind {
	case kindEndpointUpdate:
		event = decodeEndpointUpdate(r, lists)
	case kindRequestArrived:
		event = decodeRequestArrived(r)
	case kindResponseStarted:
		event = policy.ResponseStarted{RequestID: r.u64()}
	case kindAttemptResult:
		event = decodeAttemptResult(r)
	case kindRequestCancelled:
		event = policy.RequestCancelled{RequestID: r.u64()}
	case kindTimerFired:
		event = policy.TimerFired{Token: r.u64()}
	case kindHealthCheckResult:
		event = policy.HealthCheckResult{
			EndpointID: r.u32(), Outcome: r.outcome(), Elapsed: r.micros("WaitTimeMs"), Load: r.floats(),
		}
	case kindGossipReceived:
		event = policy.GossipReceived{From: int(r.u32()), Payload: r.bytes(r.u16())}
	case kindRolloutUpdate:
		event = decodeRolloutUpdate(r)
	case kindMetricsReport:
		event = policy.MetricsReport{
			Build: r.u16(), Class: r.u16(), Requests: int(r.u32()), Failures: int(r.u32()),
			MeanLatency: r.micros("WaitTimeMs"), Age: r.micros("LatenessMs"),
		}
	case kindErrorReport:
		event = policy.ErrorReport{Class: r.u16(), Age: r.micros("LatenessMs"), EndpointID: r.u32()}
	case kindInstanceStarted, kindInstanceStopped, kindEndpointList: // handled by Host.handleRecord
	}
	return event, r.err
}

func decodeEndpointUpdate(r *reader, lists endpointLists) policy.EndpointUpdate {
	kind := r.u8()
	r.u64() // not used by the policy
	number := r.u8()
	endpoints, isKnown := lists[number]
	isValid := kind == updateFailed || kind < updateFailed && isKnown
	if !isValid {
		r.fail("endpoint update of kind %d names list %d, want a known kind and a known list", kind, number)
	}
	if kind == updateFailed {
		return policy.EndpointUpdate{Failed: true}
	}
	return policy.EndpointUpdate{Full: kind == updateFull || kind == updateFullCached, Endpoints: endpoints}
}

func decodeRequestArrived(r *reader) policy.RequestArrived {
	request := policy.RequestArrived{
		ID:       r.u64(),
		Class:    r.u16(),
		Tenant:   int(r.u32()),
		Key:      r.u64(),
		Deadline: r.micros("ExpiresMs"),
		CostHint: r.micros("WeightHintMs"),
	}
	flags := r.u8()
	if flags&requestHasCostHint == 0 {
		request.CostHint = 0
	}
	request.IsRetry = flags&requestIsRetry != 0
	return request
}

func decodeAttemptResult(r *reader) policy.AttemptResult {
	requestID := r.u64()
	r.u8() // not used by the policy
	return policy.AttemptResult{
		RequestID:   requestID,
		EndpointID:  r.u32(),
		Outcome:     r.outcome(),
		Elapsed:     r.micros("WaitTimeMs"),
		RequestDone: r.u8() != 0,
		Load:        r.floats(),
	}
}

func decodeRolloutUpdate(r *reader) policy.RolloutUpdate {
	return policy.RolloutUpdate{
		Build:       r.u16(),
		Stage:       r.u8(),
		Phase:       decodePhase(r),
		IsVoteReply: r.u8() == 1,
		Outcome:     r.outcome(),
		Cap:         r.f32(),
		Age:         r.micros("LatenessMs"),
	}
}

func decodePhase(r *reader) policy.Phase {
	code := r.u8()
	if code >= len(phasesByCode) {
		r.fail("unknown rollout phase code %d", code)
		return policy.Evaluating
	}
	return phasesByCode[code]
}

// decodeEndpointList decodes the number that identifies an endpoint list, and the list's endpoints.
func decodeEndpointList(r *reader) (number int, endpoints []policy.Endpoint, err error) {
	number = r.u8()
	count := int(r.u32())
	if count*endpointEntryBytes > len(r.buf) {
		r.fail("%d list entries do not fit in %d bytes", count, len(r.buf))
	}
	if r.err != nil {
		return 0, nil, r.err
	}
	endpoints = make([]policy.Endpoint, 0, count)
	for i := 0; i < count && r.err == nil; i++ {
		endpoints = append(endpoints, decodeEndpoint(r))
	}
	return number, endpoints, r.err
}

func decodeEndpoint(r *reader) policy.Endpoint {
	endpoint := policy.Endpoint{
		ID:    r.u32(),
		Build: int(r.f32()),
		Zone:  r.u8(),
		State: policy.EndpointState(r.u8()),
	}
	if endpoint.State > policy.Draining {
		r.fail("endpoint %d has unknown state code %d", endpoint.ID, endpoint.State)
	}
	r.u8() // not used by the policy
	endpoint.Cell = r.u16()
	endpoint.Started = r.micros("UpSinceMs")
	endpoint.Weight = r.f32()
	return endpoint
}
