package discovery

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"

	"switchfork/internal/protocol"
	"switchfork/internal/streamclient"
)

const (
	// heartbeatInterval is the interval at which discovery sends heartbeats on a watch.
	heartbeatInterval = 2 * time.Second
	// silenceTimeout is the time without a line after which a watch is reported as silent and a second watch is opened. The control plane
	// assumes that an agent knows a change at the latest three heartbeat intervals after the last line of its watch. This timeout leaves
	// one interval for the second watch: the random delay before it, its connection and its list.
	silenceTimeout = 2 * heartbeatInterval
	// heartbeatTimeout is the time without a line after which a watch ends, and the time limit of a call for the full list. It is longer than
	// silenceTimeout, so that a slow discovery server is not cut off in the middle of a list.
	heartbeatTimeout = 3 * heartbeatInterval
	// maxListBytes is the maximum length of a list. The full list of a large fleet fits, on a single line or indented.
	maxListBytes = 4 << 20
	// initialBufferBytes is the initial size of the line buffer. Most lists of changes fit.
	initialBufferBytes = 16 << 10
)

var (
	errNotFullList = errors.New("got changes, want the full endpoint list")
	errNoList      = errors.New("response ended without the full endpoint list")
)

// deliver records the version of a list and reports the list to the client.
func (w *watcher) deliver(list protocol.List) {
	w.version, w.needsFullList = list.Version, false
	w.report(listReceived{from: w, list: list})
}

// fetch requests the full list once and delivers it.
func (w *watcher) fetch(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	err := w.readLists(ctx, w.listURL, func(raw []byte) error {
		if len(raw) == 0 {
			return nil
		}
		list, err := protocol.ReadList(raw)
		if err != nil {
			return fmt.Errorf("decoding the full endpoint list: %w", err)
		}
		if !list.IsFull {
			return errNotFullList
		}
		w.deliver(list)
		return nil
	})
	if err == nil && w.needsFullList {
		return errNoList
	}
	return err
}

// watch opens a watch from the last received version and delivers its lists until the stream ends or no line has arrived for
// heartbeatTimeout. It returns the number of lists and heartbeats received.
func (w *watcher) watch(ctx context.Context) (received int, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(silenceTimeout, func() { w.report(watchSilent{from: w}) })
	defer silence.Stop()
	timeout := time.AfterFunc(heartbeatTimeout, cancel)
	defer timeout.Stop()
	url := fmt.Sprintf("%s?stream=1&index=%d", w.listURL, w.version)
	err = w.readLists(ctx, url, func(raw []byte) error {
		silence.Reset(silenceTimeout)
		timeout.Reset(heartbeatTimeout)
		received++
		return w.handleWatchMessage(raw, received == 1)
	})
	return received, err
}

// handleWatchMessage delivers a list received on a watch, or reports a heartbeat, for which raw is empty. isFirst is true for the first list or
// heartbeat of the watch.
func (w *watcher) handleWatchMessage(raw []byte, isFirst bool) error {
	if len(raw) == 0 {
		w.report(heartbeatReceived{from: w})
		return nil
	}
	list, err := protocol.ReadList(raw)
	if err != nil {
		w.needsFullList = true
		return fmt.Errorf("decoding a list on the watch from version %d: %w", w.version, err)
	}
	// A watch may start with a full list, which is delivered even if its version is not newer.
	isInitialFullList := isFirst && list.IsFull
	if list.Version <= w.version && !isInitialFullList {
		return nil
	}
	slog.Info("endpoint list received", "version", list.Version, "full", list.IsFull, "entries", len(list.Entries))
	w.deliver(list)
	return nil
}

// readLists calls discovery and passes each list of the response to handle, until the response ends or handle fails. A heartbeat is passed
// as an empty list. It is an error if a list of several lines is too long, or if a list is not complete when the next list or a heartbeat
// begins. The watcher then fetches the full list.
func (w *watcher) readLists(ctx context.Context, url string, handle func(raw []byte) error) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("making a discovery request: %w", err)
	}
	w.countCall()
	response, err := w.httpClient.Do(request)
	if err != nil {
		return err // already names the method and the URL
	}
	defer func() { _ = response.Body.Close() }() // a body that is only read loses no data on close
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("calling %s: %w", url, streamclient.StatusError(response.StatusCode))
	}
	return w.scanLists(response.Body, handle)
}

// scanLists passes each list and heartbeat of a response's body to handle.
func (w *watcher) scanLists(body io.Reader, handle func(raw []byte) error) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, initialBufferBytes), maxListBytes)
	var reader protocol.ListReader
	for scanner.Scan() {
		line := bytes.TrimSpace(scanner.Bytes())
		list, err := reader.Add(line, maxListBytes)
		if err != nil {
			w.needsFullList = true
			return fmt.Errorf("reading a list from %s: %w", w.listURL, err)
		}
		if list == nil && len(line) > 0 {
			continue // the list continues on the next line
		}
		if err := handle(list); err != nil {
			return err
		}
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("reading lists from %s: %w", w.listURL, err)
	}
	if err := reader.End(); err != nil {
		return fmt.Errorf("reading the last list from %s: %w", w.listURL, err)
	}
	return nil
}
