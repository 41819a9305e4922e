package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"switchfork/internal/cluster/election"
)

// This file owns the admin address: a Unix socket on which the operator's commands ask an agent, and its metrics are read.

// StatusReport is what the admin address tells of the lead.
type StatusReport struct {
	Me         int    `json:"me"`
	Leads      bool   `json:"leads"`
	Owner      int    `json:"owner"` // -1: nobody, as far as this agent knows
	Term       uint64 `json:"term"`
	LeftMS     int64  `json:"left_ms"`
	Unresolved bool   `json:"unresolved"`
	WaitsMS    int64  `json:"waits_ms"`    // until nothing of an earlier lead can count
	AbstainsMS int64  `json:"abstains_ms"` // until this agent takes part again
	Newest     string `json:"newest"`      // the newest decision that it knows
	Members    []int  `json:"members"`
}

// NewStatusReport puts a standing into words.
func NewStatusReport(me int, s election.Status) StatusReport {
	r := StatusReport{
		Me: me, Leads: s.IsLeader, Owner: s.LeaseHolder, Term: s.Term, LeftMS: s.LeaseRemaining / 1000, Unresolved: s.HasUnresolvedVote, WaitsMS: s.EarlierVotesExpireIn / 1000,
		AbstainsMS: s.AbstainsFor / 1000, Newest: "none",
	}
	if k := s.Newest; k.Term != 0 {
		r.Newest = fmt.Sprintf("%d.%d build %d stage %d %v", k.Term, k.Index, k.Build, k.Stage, k.Verdict)
	}
	for i := range election.MaxReplicas {
		if s.Members.Contains(i) {
			r.Members = append(r.Members, i)
		}
	}
	return r
}

const askWait = 2 * time.Second

// ServeAdmin serves the admin address until the end. A socket that a dead agent has left is taken over; a living one's is not.
func (c *Coordinator) ServeAdmin(ctx context.Context, path string) error {
	if d, err := net.DialTimeout("unix", path, askWait); err == nil {
		d.Close()
		return fmt.Errorf("admin address %s is another process's", path)
	}
	if info, err := os.Lstat(path); err == nil && info.Mode()&os.ModeSocket != 0 {
		os.Remove(path)
	}
	l, err := net.Listen("unix", path)
	if err != nil {
		return fmt.Errorf("admin address: %w", err)
	}
	if err = os.Chmod(path, 0o600); err != nil {
		l.Close()
		return fmt.Errorf("admin address: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /lead", func(w http.ResponseWriter, r *http.Request) {
		s, err := c.Status(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(NewStatusReport(c.me, s))
	})
	move := func(in bool) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			who, err := strconv.Atoi(r.FormValue("agent"))
			if err != nil || who < 0 || who >= election.MaxReplicas {
				http.Error(w, fmt.Sprintf("agent is %q, expected a number from 0 to %d", r.FormValue("agent"), election.MaxReplicas-1), http.StatusBadRequest)
				return
			}
			join, out := who, -1
			if !in {
				join, out = -1, who
			}
			if err = c.ChangeMembers(r.Context(), join, out); err != nil {
				http.Error(w, err.Error(), http.StatusConflict)
			}
		}
	}
	mux.HandleFunc("POST /members/add", move(true))
	mux.HandleFunc("POST /members/remove", move(false))
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { c.set.WritePrometheus(w) })
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: askWait, IdleTimeout: askWait}
	go srv.Serve(l)
	go func() { <-ctx.Done(); srv.Close() }()
	return nil
}

// client speaks to an agent's admin address.
func client(path string) *http.Client {
	return &http.Client{Timeout: askWait, Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "unix", path)
		},
	}}
}

// QueryStatus asks an agent who leads.
func QueryStatus(path string) (r StatusReport, err error) {
	res, err := client(path).Get("http://agent/lead")
	if err != nil {
		return r, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return r, fmt.Errorf("the agent answers %s", res.Status)
	}
	return r, json.NewDecoder(res.Body).Decode(&r)
}

// RequestMemberChange asks an agent that leads to let another in, or take one out.
func RequestMemberChange(path, verb string, agent int) error {
	res, err := client(path).PostForm("http://agent/members/"+verb, url.Values{"agent": {strconv.Itoa(agent)}})
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		text := make([]byte, 256)
		n, _ := res.Body.Read(text)
		return errors.New(string(text[:n]))
	}
	return nil
}
