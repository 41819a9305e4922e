// Package protocol reads and writes what an agent exchanges with clients, endpoints, discovery and the rollout controller: requests and
// responses, load reports, the endpoint list, rollout updates and votes.
//
// It holds no connection and no state beyond a ListReader's, which belongs to its one reader. All other functions may be called by any
// goroutine.
package protocol
