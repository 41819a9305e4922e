package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// entry is an endpoint in discovery's list.
type entry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   float64 `json:"born_ms"`
	Build  int     `json:"build"`
}

type list struct {
	Seq   uint64  `json:"seq"`
	Whole bool    `json:"whole"`
	Hosts []entry `json:"hosts"`
}

func (l list) json() string { return string(must1(json.Marshal(l))) }

// discovery is a stand-in for one agent's discovery address.
type discovery struct {
	lab  *lab
	name string

	mu       sync.Mutex
	listener net.Listener
	list     list          // the newest whole list
	changed  chan struct{} // closed at the next change
	closing  chan struct{} // closed to end the open watches
	// onCall, if set, is asked at each call. It returns the status for a refusal, 0 to serve, or -1 to stay silent.
	onCall func(what string, number int) int
	calls  int
}

func (l *lab) newDiscovery(name, address string, hosts []entry) *discovery {
	d := &discovery{lab: l, name: name, changed: make(chan struct{}), closing: make(chan struct{})}
	d.list = list{Seq: 41, Whole: true, Hosts: hosts}
	d.listener = must1(net.Listen("tcp", address))
	server := &http.Server{Handler: http.HandlerFunc(d.serve)}
	go server.Serve(d.listener)
	return d
}

func (d *discovery) address() string { return d.listener.Addr().String() }

// set changes one entry's health and gives the change a version.
func (d *discovery) set(host, health string) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	hosts := append([]entry(nil), d.list.Hosts...)
	for i := range hosts {
		if hosts[i].Host == host {
			hosts[i].Health = health
		}
	}
	d.list = list{Seq: d.list.Seq + 1, Whole: true, Hosts: hosts}
	close(d.changed)
	d.changed = make(chan struct{})
	return d.list.Seq
}

// endWatches ends the open watches.
func (d *discovery) endWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.closing)
	d.closing = make(chan struct{})
}

// refuse lets the address take no new connection. Open ones stay.
func (d *discovery) refuse() {
	_ = d.listener.Close()
	d.lab.note("%s takes no new connection", d.name)
}

func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	what := "list"
	isOutsider := r.URL.Query().Get("outsider") != ""
	if r.URL.Query().Get("stream") == "1" {
		what = "watch"
	}
	d.mu.Lock()
	status := 0
	if !isOutsider {
		d.calls++
	}
	if d.onCall != nil && !isOutsider {
		status = d.onCall(what, d.calls)
	}
	current, changed, closing := d.list, d.changed, d.closing
	d.mu.Unlock()
	if !isOutsider {
		answer := map[int]string{0: "served", -1: "left without an answer"}[status]
		if answer == "" {
			answer = fmt.Sprint("turned away with ", status)
		}
		d.lab.note("%s: %s call from index %q %s, version %d", d.name, what, r.URL.Query().Get("index"), answer, current.Seq)
	}
	switch {
	case status > 0:
		http.Error(w, "busy", status)
		return
	case status < 0:
		select {
		case <-r.Context().Done():
		case <-time.After(60 * time.Second):
		}
		return
	case r.URL.Path != "/catalog/members":
		http.NotFound(w, r)
		return
	case what == "list":
		io.WriteString(w, current.json()+"\n")
		return
	}
	index, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	flusher := w.(http.Flusher)
	if index != current.Seq {
		io.WriteString(w, current.json()+"\n")
	} else {
		io.WriteString(w, "\n")
	}
	flusher.Flush()
	for {
		select {
		case <-r.Context().Done():
			return
		case <-closing:
			return
		case <-changed:
			d.mu.Lock()
			current, changed = d.list, d.changed
			d.mu.Unlock()
			if _, err := io.WriteString(w, current.json()+"\n"); err != nil {
				return
			}
			flusher.Flush()
			d.lab.note("%s: version %d written to a watch", d.name, current.Seq)
		case <-time.After(2 * time.Second):
			if _, err := io.WriteString(w, "\n"); err != nil {
				return
			}
			flusher.Flush()
		}
	}
}

// platform is a stand-in for the control service with one released build.
type platform struct {
	lab      *lab
	listener net.Listener
	news     string // the state of the newest build, as a form
}

func (l *lab) newPlatform() *platform {
	p := &platform{lab: l, listener: must1(net.Listen("tcp", "127.0.0.1:0")), news: "image=41&ring=3&progress=live&ceiling=1&lag_ms=90000"}
	server := &http.Server{Handler: http.HandlerFunc(p.serve)}
	go server.Serve(p.listener)
	return p
}

func (p *platform) address() string { return p.listener.Addr().String() }

func (p *platform) serve(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		body, _ := io.ReadAll(io.LimitReader(r.Body, 1<<16))
		p.lab.note("platform: vote %s", body)
		w.WriteHeader(http.StatusBadRequest)
		io.WriteString(w, `<?xml version="1.0"?><Response><Error><Code>ConditionFailed</Code></Error></Response>`)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	fmt.Fprintf(w, "event: ROLLOUT\ndata: %s\n\n", p.news)
	w.(http.Flusher).Flush()
	for {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(time.Second):
			if _, err := io.WriteString(w, ":\n"); err != nil {
				return
			}
			w.(http.Flusher).Flush()
		}
	}
}

// arrival is a request that an endpoint has received whole.
type arrival struct {
	host, id, target string
	body             string
	begun, whole     time.Time // first and last byte
}

// endpoint is a stand-in for a server. It answers each request after a time of work with the request's own id.
type endpoint struct {
	lab      *lab
	host     string
	listener net.Listener
	work     time.Duration
	slots    chan struct{}                        // requests served at a time; nil: any number
	answer   func(conn net.Conn, id string) error // writes an answer in place of the usual one; nil: the usual one

	mu       sync.Mutex
	arrivals []arrival
}

func (l *lab) newEndpoint(host string, work time.Duration) *endpoint {
	e := &endpoint{lab: l, host: host, work: work, listener: must1(net.Listen("tcp", "127.0.0.1:0"))}
	go func() {
		for {
			conn, err := e.listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e
}

func (e *endpoint) address() string { return e.listener.Addr().String() }

func (e *endpoint) entry(site string) entry {
	return entry{Host: e.host, Dial: e.address(), Site: site, Class: "single-core", Block: 1, Health: "active", Share: 1, Build: 41}
}

func (e *endpoint) seen() []arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]arrival(nil), e.arrivals...)
}

// firstByteReader notes when the first byte of a request has come.
type firstByteReader struct {
	net.Conn
	begun time.Time
}

func (r *firstByteReader) Read(b []byte) (int, error) {
	n, err := r.Conn.Read(b)
	if n > 0 && r.begun.IsZero() {
		r.begun = time.Now()
	}
	return n, err
}

func (e *endpoint) serve(conn net.Conn) {
	defer conn.Close()
	timed := &firstByteReader{Conn: conn}
	reader := bufio.NewReader(timed)
	for {
		timed.begun = time.Time{}
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		sent, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		id := request.Header.Get("X-Request-Id")
		if id == "" { // a probe
			status := "200 OK"
			if request.URL.Path != "/ping" && request.URL.Path != "/_load" {
				status = "404 Not Found"
			}
			fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n", status)
			continue
		}
		came := arrival{host: e.host, id: id, target: request.RequestURI, body: string(sent), begun: timed.begun, whole: time.Now()}
		e.mu.Lock()
		e.arrivals = append(e.arrivals, came)
		e.mu.Unlock()
		e.lab.noteAt(came.begun, "server %s: %s %s begins (X-Deadline-Ms %s)", e.host, id, came.target, request.Header.Get("X-Deadline-Ms"))
		if e.slots != nil {
			e.slots <- struct{}{}
		}
		time.Sleep(e.work)
		if e.slots != nil {
			<-e.slots
		}
		if e.answer != nil {
			if e.answer(conn, id) != nil {
				return
			}
			continue
		}
		body := "done " + id
		if _, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
			return
		}
	}
}

// call sends raw bytes on a new connection and reads one answer.
func call(address, raw string, timeout time.Duration) (status int, body string, err error) {
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return 0, "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(timeout))
	if _, err = io.WriteString(conn, raw); err != nil {
		return 0, "", err
	}
	return readAnswer(bufio.NewReader(conn))
}

func readAnswer(reader *bufio.Reader) (status int, body string, err error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, strings.TrimSpace(string(content)), err
}
