package rollout

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"switchfork/internal/backoff"
	"switchfork/internal/streamclient"
)

const (
	// streamPath is the path of the event stream, relative to the API's URL.
	streamPath = "bulletin"
	// heartbeatInterval is the interval at which the rollout controller sends heartbeats on the stream.
	heartbeatInterval = time.Second
	// maxMissedHeartbeats is how many heartbeat intervals may pass without an update or a heartbeat before a stream is replaced.
	maxMissedHeartbeats = 3
)

// stream is one connection on which updates are received. It reports updates and heartbeats to the client. The client's goroutine owns
// lastLineAt and hasReceived.
type stream struct {
	cancel      context.CancelFunc
	httpClient  *http.Client
	apiURL      string
	report      func(message)
	lastLineAt  time.Time // time of the last update or heartbeat, or of the opening if there has been none
	hasReceived bool      // an update or a heartbeat has been received
}

// openStream opens a stream in its own goroutine after a delay. streamEnded is the last message that the stream reports.
func openStream(
	ctx context.Context, httpClient *http.Client, apiURL string, delay backoff.Micros, report func(message),
) *stream {
	ctx, cancel := context.WithCancel(ctx)
	s := &stream{cancel: cancel, httpClient: httpClient, apiURL: apiURL, report: report, lastLineAt: time.Now()}
	go func() {
		if delay > 0 {
			streamclient.Sleep(ctx, delay)
		}
		report(streamEnded{from: s, err: s.read(ctx)})
	}()
	return s
}

// recordLine records that an update or a heartbeat has been received.
func (s *stream) recordLine() {
	s.lastLineAt = time.Now()
	s.hasReceived = true
}

func (s *stream) isSilent() bool {
	return time.Since(s.lastLineAt) >= maxMissedHeartbeats*heartbeatInterval
}

// read reports updates and heartbeats until the stream ends. It also ends the stream at a line that can't be parsed: the connection is of
// no further use, and a new stream receives the current state as soon as it is open.
func (s *stream) read(ctx context.Context) error {
	defer s.cancel()
	url := s.apiURL + streamPath
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("making a request for the rollout stream: %w", err)
	}
	response, err := s.httpClient.Do(request)
	if err != nil {
		return err // already names the method and the URL
	}
	defer func() { _ = response.Body.Close() }() // a body that is only read loses no data on close
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("opening %s: %w", url, streamclient.StatusError(response.StatusCode))
	}
	events := newEventScanner(response.Body)
	for events.scan() {
		if events.update == nil {
			s.report(heartbeatReceived{from: s})
		} else {
			s.report(updateReceived{from: s, update: *events.update})
		}
	}
	if events.err != nil {
		return fmt.Errorf("reading %s: %w", url, events.err)
	}
	return nil
}
