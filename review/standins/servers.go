package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// call is a request as an endpoint has received it.
type call struct {
	id, idempotencyKey, method, target string
	at                                 time.Time
}

// answer is what an endpoint sends after a delay.
type answer struct {
	status int
	body   string
	after  time.Duration
}

// endpoint is a stand-in for an appliance. It answers each request as behave says.
type endpoint struct {
	host    string
	address string
	build   int
	born    int64 // Unix time in milliseconds; 0: long ago
	site    string
}

// startEndpoint serves an endpoint until this process ends. A probe is answered with 200.
func startEndpoint(host, site string, build int, born int64, behave func(call) answer) (*endpoint, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	handler := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/ping" {
			_, _ = io.WriteString(w, "ok\n")
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		got := call{
			id: r.Header.Get("X-Request-Id"), idempotencyKey: r.Header.Get("Idempotency-Key"),
			method: r.Method, target: r.RequestURI, at: time.Now(),
		}
		if got.id == "" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply := behave(got)
		time.Sleep(reply.after)
		w.Header().Set("Content-Type", "text/plain")
		w.WriteHeader(reply.status)
		_, _ = io.WriteString(w, reply.body)
	}
	go func() { _ = http.Serve(listener, http.HandlerFunc(handler)) }()
	return &endpoint{host: host, address: listener.Addr().String(), build: build, born: born, site: site}, nil
}

func (e *endpoint) entry() object {
	return object{
		"host": e.host, "dial": e.address, "site": e.site, "class": "std", "block": 0, "health": "active", "share": 1.0,
		"born_ms": e.born, "build": e.build,
	}
}

// discovery is a stand-in for the endpoint list. Entries are only ever added.
type discovery struct {
	address string
	mu      sync.Mutex
	entries []object // the entry at index i came with version i+1
	changed chan struct{}
}

func startDiscovery(endpoints ...*endpoint) (*discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{address: listener.Addr().String(), changed: make(chan struct{})}
	for _, e := range endpoints {
		d.entries = append(d.entries, e.entry())
	}
	go func() { _ = http.Serve(listener, d) }()
	return d, nil
}

func (d *discovery) add(e *endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries = append(d.entries, e.entry())
	close(d.changed)
	d.changed = make(chan struct{})
}

// list returns what changed after a version, or the whole list, and a channel that is closed at the next change.
func (d *discovery) list(after int, whole bool) (list object, version int, changed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	version = len(d.entries)
	if whole || after > version {
		after = 0
	}
	return object{"seq": version, "whole": whole, "hosts": d.entries[after:]}, version, d.changed
}

func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("stream") == "" {
		list, _, _ := d.list(0, true)
		_ = json.NewEncoder(w).Encode(list)
		return
	}
	sent, _ := strconv.Atoi(r.URL.Query().Get("index"))
	for {
		list, version, changed := d.list(sent, false)
		if version > sent {
			_ = json.NewEncoder(w).Encode(list)
			sent = version
		} else {
			_, _ = io.WriteString(w, "\n")
		}
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-time.After(2 * time.Second):
		}
	}
}

// startQuietPlatform serves a platform on which a build was released long ago and no other follows.
func startQuietPlatform(build int) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	handler := func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			w.WriteHeader(http.StatusBadRequest)
			_, _ = io.WriteString(w, "<Error><Code>ConditionFailed</Code></Error>")
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprintf(w, "event: ROLLOUT\ndata: image=%d&ring=3&progress=live&ceiling=1&lag_ms=90000\n\n", build)
		for r.Context().Err() == nil {
			w.(http.Flusher).Flush()
			time.Sleep(time.Second)
			_, _ = io.WriteString(w, ":\n")
		}
	}
	go func() { _ = http.Serve(listener, http.HandlerFunc(handler)) }()
	return listener.Addr().String(), nil
}
