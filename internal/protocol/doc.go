// Package protocol encodes and decodes the messages that an agent exchanges with clients, endpoints, discovery and the rollout controller:
// requests and responses, load reports, the endpoint list, rollout updates and votes.
//
// The package opens no connections. Its only state is in ListReader, which is not safe for concurrent use. All other functions may be
// called from any goroutine.
package protocol
