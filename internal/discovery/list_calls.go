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
	// heartbeatInterval is the protocol's interval of heartbeats on a watch.
	heartbeatInterval = 2 * time.Second
	// silenceTimeout is after how long without a line a watch is reported as silent, so that another one is opened beside it. What a silent
	// watch misses counts as known after three heartbeats, which leaves one for the delay, the connection and the list.
	silenceTimeout = 2 * heartbeatInterval
	// heartbeatTimeout is after how long without a line a call ends. It is longer than silenceTimeout, so that a discovery that is merely
	// slow is not cut off in the middle of a list.
	heartbeatTimeout = 3 * heartbeatInterval
	// maxListBytes has room for the full list of a large fleet, on one line or over many.
	maxListBytes = 4 << 20
	// initialBufferBytes is enough for most lists of changes.
	initialBufferBytes = 16 << 10
)

var (
	errNotFullList = errors.New("got changes, want the full endpoint list")
	errNoList      = errors.New("response ended without the full endpoint list")
)

// deliver records a list's version and reports the list to the client.
func (w *watcher) deliver(list protocol.List) {
	w.version, w.needsFullList = list.Version, false
	w.report(listReceived{from: w, list: list})
}

// fetch calls for the full list, once.
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

// watch delivers the changes after the last version until the stream ends or has been silent for too long. It returns how many lists and
// heartbeats have been received.
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
		return w.handleWatched(raw, received == 1)
	})
	return received, err
}

// handleWatched delivers a list of a watch, or reports a heartbeat. isFirst tells whether it is the first of its watch.
func (w *watcher) handleWatched(raw []byte, isFirst bool) error {
	if len(raw) == 0 {
		w.report(heartbeatReceived{from: w})
		return nil
	}
	list, err := protocol.ReadList(raw)
	if err != nil {
		w.needsFullList = true
		return fmt.Errorf("decoding a list of the watch from version %d: %w", w.version, err)
	}
	// A watch may start with a full list, which counts whatever its version is.
	startsAfresh := isFirst && list.IsFull
	if list.Version <= w.version && !startsAfresh {
		return nil
	}
	slog.Info("endpoint list received", "version", list.Version, "full", list.IsFull, "entries", len(list.Entries))
	w.deliver(list)
	return nil
}

// readLists calls discovery and hands each list of the response to handle, and each heartbeat as an empty one, until the response ends or
// handle fails. After a list that is cut off or too long, the full list is to be fetched.
func (w *watcher) readLists(ctx context.Context, url string, handle func(raw []byte) error) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("making a discovery request: %w", err)
	}
	w.countCall()
	response, err := w.httpClient.Do(request)
	if err != nil {
		return err // it names the method and the URL
	}
	defer func() { _ = response.Body.Close() }() // only read from: closing it can lose nothing
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("calling %s: %w", url, streamclient.StatusError(response.StatusCode))
	}
	return w.scanLists(response.Body, handle)
}

// scanLists hands each list and heartbeat of a response to handle.
func (w *watcher) scanLists(body io.Reader, handle func(raw []byte) error) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, initialBufferBytes), maxListBytes)
	var reader protocol.ListReader
	for scanner.Scan() {
		line := bytes.TrimSpace(scanner.Bytes())
		list, err := reader.Add(line, maxListBytes)
		if err != nil {
			w.needsFullList = true
			return fmt.Errorf("reading a list of %s: %w", w.listURL, err)
		}
		if list == nil && len(line) > 0 {
			continue // more lines of this list are to come
		}
		if err := handle(list); err != nil {
			return err
		}
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("reading lists of %s: %w", w.listURL, err)
	}
	if err := reader.End(); err != nil {
		return fmt.Errorf("reading the last list of %s: %w", w.listURL, err)
	}
	return nil
}
