package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the launcher, as the settings of the agents name them, and how late it tells a change.
const (
	voteStands = 4 * time.Second
	leastStage = 3 * time.Second
	newsDelay  = 200 * time.Millisecond
	recallTime = 2 * time.Second
)

// launcher is a stand-in for the platform. It is a process of its own, so that it can be stopped and continued. It carries out the calls in
// the order in which their connections came. An agent is known by the address that its connections come from, 127.0.1.N for agent N.
type launcher struct {
	mu      sync.Mutex
	build   int
	wave    int
	phase   string
	since   time.Time
	votes   map[string]standingVote // by agent
	streams map[chan string]bool
}

// standingVote is the vote of an agent that was carried out last.
type standingVote struct {
	build, wave int
	opinion     string
	until       time.Time
}

var ceilings = []string{"0.04", "0.15", "0.5", "1"}

// say writes a line to standard output, from which the case takes it to its record.
func (l *launcher) say(format string, args ...any) {
	fmt.Printf("%d %s\n", time.Now().UnixMicro(), fmt.Sprintf(format, args...))
}

func launcherMain(arguments []string) {
	flags := flag.NewFlagSet("launcher", flag.ExitOnError)
	address := flags.String("address", "", "where to listen")
	_ = flags.Parse(arguments)
	listener, err := net.Listen("tcp", *address)
	if err != nil {
		fmt.Println(err)
		os.Exit(exitNotRun)
	}
	l := &launcher{
		build: 1, wave: 3, phase: "live", since: time.Now().Add(-90 * time.Second),
		votes: map[string]standingVote{}, streams: map[chan string]bool{},
	}
	go l.readOrders()
	go l.advanceWhenDue()
	l.say("launcher serves")
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		l.serve(conn)
	}
}

// readOrders offers the build that a line on standard input names.
func (l *launcher) readOrders() {
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		build, err := strconv.Atoi(lines.Text())
		if err != nil {
			continue
		}
		l.mu.Lock()
		l.build = build
		l.become(0, "testing")
		l.mu.Unlock()
	}
	os.Exit(0)
}

// become changes the state and tells it. The lock is held.
func (l *launcher) become(wave int, phase string) {
	l.wave, l.phase, l.since = wave, phase, time.Now()
	l.say("build %d is at wave %d, %s", l.build, wave, phase)
	time.AfterFunc(newsDelay, l.tell)
}

func (l *launcher) ceiling() string {
	switch l.phase {
	case "testing":
		return ceilings[l.wave]
	case "live":
		return "1"
	}
	return "0"
}

func (l *launcher) tell() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for stream := range l.streams {
		select {
		case stream <- l.event():
		default:
		}
	}
}

func (l *launcher) event() string {
	return fmt.Sprintf("event: ROLLOUT\ndata: image=%d&ring=%d&progress=%s&ceiling=%s&lag_ms=%d\n\n",
		l.build, l.wave, l.phase, l.ceiling(), time.Since(l.since).Milliseconds())
}

// advanceWhenDue moves a wave on once it has run for long enough and a vote to go on stands. It ends a recall after a while.
func (l *launcher) advanceWhenDue() {
	for range time.Tick(10 * time.Millisecond) {
		l.mu.Lock()
		switch {
		case l.phase == "recalling" && time.Since(l.since) >= recallTime:
			l.become(l.wave, "recalled")
		case l.phase == "testing" && time.Since(l.since) >= leastStage && l.isApproved():
			if l.wave == len(ceilings)-1 {
				l.become(l.wave, "live")
			} else {
				l.become(l.wave+1, "testing")
			}
		}
		l.mu.Unlock()
	}
}

func (l *launcher) isApproved() bool {
	for agent, vote := range l.votes {
		if vote.opinion == "approve" && vote.build == l.build && vote.wave == l.wave && time.Now().Before(vote.until) {
			l.say("wave %d of build %d moves on by the vote of %s", l.wave, l.build, agent)
			return true
		}
	}
	return false
}

// serve reads the first call of a connection and carries it out. A stream goes on in a goroutine of its own.
func (l *launcher) serve(conn net.Conn) {
	_ = conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		_ = conn.Close()
		return
	}
	if request.Method == http.MethodGet {
		go l.stream(conn)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err == nil {
		agent, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
		status, text := l.vote("agent "+agent[strings.LastIndex(agent, ".")+1:], string(body))
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nContent-Type: text/xml\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
			status, http.StatusText(status), len(text), text)
	}
	_ = conn.Close()
}

func (l *launcher) stream(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(time.Time{})
	events := make(chan string, 16)
	l.mu.Lock()
	events <- l.event()
	l.streams[events] = true
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.streams, events)
		l.mu.Unlock()
	}()
	_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for err == nil {
		text := ":\n"
		select {
		case text = <-events:
		case <-time.After(time.Second):
		}
		_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
	}
}

// vote carries out a vote, and returns the status and body of the answer.
func (l *launcher) vote(agent, body string) (status int, text string) {
	form, err := url.ParseQuery(body)
	build, buildErr := strconv.Atoi(form.Get("image"))
	wave, waveErr := strconv.Atoi(form.Get("ring"))
	opinion := form.Get("opinion")
	if err != nil || buildErr != nil || waveErr != nil || form.Get("Action") != "RecordOpinion" {
		return http.StatusBadRequest, "<Error><Code>ValidationError</Code></Error>"
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	isCurrent := build == l.build && (l.phase == "testing" && (wave == l.wave || opinion != "approve") || l.phase == "live" && opinion == "reject")
	if !isCurrent || opinion == "wait" {
		l.say("vote of %s to %s build %d wave %d does not count: it is moot", agent, opinion, build, wave)
		return http.StatusBadRequest, "<Error><Code>ConditionFailed</Code></Error>"
	}
	now := time.Now()
	l.say("vote of %s to %s build %d wave %d counts", agent, opinion, build, wave)
	l.votes[agent] = standingVote{build: build, wave: wave, opinion: opinion, until: now.Add(voteStands)}
	if opinion == "reject" {
		for other, vote := range l.votes {
			if other != agent && vote.opinion == "approve" && vote.build == build && vote.wave == wave && now.Before(vote.until) {
				l.say("CONFLICT on build %d wave %d: the vote of %s to approve and that of %s to reject stand together", build, wave, other, agent)
			}
		}
		l.become(l.wave, "recalling")
	}
	return http.StatusOK, fmt.Sprintf(`<?xml version="1.0"?>
<Response><groups><item><image>%d</image><ring>%d</ring><progress>%s</progress><ceiling>%s</ceiling><lag_ms>%d</lag_ms></item></groups></Response>`,
		l.build, l.wave, l.phase, l.ceiling(), now.Sub(l.since).Milliseconds())
}
