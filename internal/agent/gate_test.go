package agent

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"switchfork/internal/admission"
	"switchfork/internal/policy"
)

// gated is a core with a door before it, and a module that does as the test says.
type gated struct {
	*rig
	gate *AdmissionGate
	t    *testing.T
}

func newGated(t *testing.T, room admission.Limits, same bool) *gated {
	r := newRig(t, time.Second, "127.0.0.1:1", "127.0.0.1:1")
	clock := NewClock()
	d := admission.New([]admission.RequestClass{{LatencyObjective: 10_000_000, Timeout: 20_000_000, PriorityWeight: 1, Keyed: true}}, []admission.Tenant{{Weight: 1}},
		room, admission.RetryAfterLimits{Max: 500_000}, same, 1)
	g := &gated{r, NewAdmissionGate(d, clock, r.core), t}
	go g.gate.Serve(r.ctx)
	return g
}

// knock sends a txn to the door; its answer comes on the channel.
func (g *gated) knock(id, key uint64) chan Reply {
	o := &Request{Encoded: posting, replies: make(chan Reply, 1), Deadline: time.Now().Add(patience)}
	expires := g.gate.clock.At(o.Deadline)
	g.gate.box.Put(knock{
		admission.Arrival{ID: id, Client: id, Key: key, Deadline: expires, Bytes: 100},
		policy.RequestArrived{ID: id, Key: key, Deadline: expires},
		o,
	})
	return o.replies
}

func (g *gated) standing() AdmissionStatus { return g.gate.Status(context.Background()) }

func (g *gated) taken() int { return len(seen[policy.RequestArrived](g.script)) }

// A next try does not go in while its first one is in, goes in when that is over, and takes over a place that waits.
func TestNextTryAtTheGate(t *testing.T) {
	g := newGated(t, admission.Limits{Requests: 10, Bytes: 1 << 20, Queues: 4}, false)
	g.knock(1, 5)
	eventually(t, "the first try", func() bool { return g.taken() == 1 })
	g.knock(2, 5)
	if s := g.standing(); s.Rejoined != 1 || s.InProgress != 1 || s.Waiting != 1 {
		t.Fatalf("next try stands as %+v", s)
	}
	if g.taken() != 1 {
		t.Fatal("two of one reference are in")
	}
	third := g.knock(3, 5)
	if s := g.standing(); s.Rejoined != 2 || s.Waiting != 1 {
		t.Fatalf("third try stands as %+v", s)
	}
	g.gate.box.Put(left{1}) // the first one's client leaves: it is over when the module has heard so
	eventually(t, "the next try", func() bool { return g.taken() == 2 })
	if got := seen[policy.RequestArrived](g.script)[1].ID; got != 3 {
		t.Errorf("%d went in after the first try, want the last one", got)
	}
	g.gate.box.Put(left{3})
	eventually(t, "an empty door", func() bool { s := g.standing(); return s.InProgress+s.Waiting == 0 })
	if len(third) != 0 {
		t.Error("who left was answered")
	}
	g.knock(4, 5)
	eventually(t, "a try after all is over", func() bool { return g.taken() == 3 })
}

// With same-answer a next try gets its first one's answer, whatever it is, and nothing of its own goes in.
func TestSameAnswerAtTheGate(t *testing.T) {
	g := newGated(t, admission.Limits{Requests: 10, Bytes: 1 << 20, Queues: 4}, true)
	first := g.knock(1, 5)
	eventually(t, "the first try", func() bool { return g.taken() == 1 })
	second := g.knock(2, 5)
	if s := g.standing(); s.Coalesced != 1 {
		t.Fatalf("next try stands as %+v", s)
	}
	g.mu.Lock()
	g.do = func(ev policy.Event) []policy.Command {
		if _, is := ev.(policy.HealthCheckResult); is {
			return []policy.Command{policy.Fail{RequestID: 1}}
		}
		return nil
	}
	g.mu.Unlock()
	g.core.mailbox.Put(policy.HealthCheckResult{})
	for name, ch := range map[string]chan Reply{"first": first, "next": second} {
		select {
		case r := <-ch:
			if r.Rejected || r.Response != nil {
				t.Errorf("the %s try was answered %+v, want void", name, r)
			}
		case <-time.After(patience):
			t.Errorf("the %s try was not answered", name)
		}
	}
	if g.taken() != 1 {
		t.Error("the next try went in by itself")
	}
}

// A client that leaves the queue is forgotten, and a drain answers all who will not get in.
func TestLeavingAndDraining(t *testing.T) {
	g := newGated(t, admission.Limits{Requests: 40, Bytes: 1 << 20, Queues: 4}, false)
	for id := uint64(1); id <= 32; id++ { // as many as go in at first
		g.knock(id, id)
	}
	eventually(t, "a full house", func() bool { return g.taken() == 32 })
	replies := map[uint64]chan Reply{}
	for id := uint64(33); id <= 38; id++ {
		replies[id] = g.knock(id, id)
	}
	g.gate.box.Put(left{33})
	if s := g.standing(); s.InProgress != 32 || s.Waiting != 5 {
		t.Fatalf("stands as %+v", s)
	}
	g.gate.box.Put(drain{time.Now()})
	for id := uint64(34); id <= 38; id++ {
		select {
		case r := <-replies[id]:
			if !r.Rejected {
				t.Errorf("%d was answered %+v", id, r)
			}
		case <-time.After(patience):
			t.Errorf("%d was not answered", id)
		}
	}
	if len(replies[33]) > 0 {
		t.Error("who left was answered")
	}
}

// The program with an operator's file: no more in than it says, a flood refused with a time to come back, and all who were
// let in answered; SIGHUP keeps what stands when the file is spoilt.
func TestDoorOfTheProgram(t *testing.T) {
	file := filepath.Join(t.TempDir(), "operator.conf")
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("door on\ndoor-txns 3\ndoor-client header X-Client\ntenant acme share 0.7\n")
	t.Setenv("SWITCHFORK_OPERATOR", file)
	let := make(chan struct{})
	b := newBox(t, nil)
	b.SetHandler(func(c net.Conn, nth int) bool { <-let; return answers(ok("yes"))(c, nth) })
	a := launch(t, nil, host("s-1", b.Addr(), "active", 41))
	ask := func(n int) (status int, wait string) {
		r, _ := http.NewRequest("GET", fmt.Sprintf("%s/lookup?sid=%016x", a.url, n), nil)
		r.Header.Set("X-Request-Id", strconv.Itoa(n))
		r.Header.Set("X-Tenant", "acme")
		r.Header.Set("X-Client", strconv.Itoa(n))
		res, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Error(err)
			return 0, ""
		}
		res.Body.Close()
		return res.StatusCode, res.Header.Get("Retry-After")
	}
	var wait sync.WaitGroup
	settled := make([]int, 3)
	for n := range 3 {
		wait.Add(1)
		go func() { defer wait.Done(); settled[n], _ = ask(n + 1) }()
	}
	eventually(t, "three at the appliance", func() bool { return len(b.Requests()) == 3 })
	for n := range 5 {
		status, back := ask(10 + n)
		if s, err := strconv.ParseFloat(back, 64); status != 503 || err != nil || s <= 0 || s > 0.5 {
			t.Errorf("a fourth txn got %d with Retry-After %q", status, back)
		}
	}
	close(let)
	wait.Wait()
	for n, s := range settled {
		if s != 200 {
			t.Errorf("txn %d got %d", n+1, s)
		}
	}
	write("door onn\n")
	a.cmd.Process.Signal(syscall.SIGHUP)
	eventually(t, "the fault in the log", func() bool { return strings.Contains(a.log.String(), "operator.conf:1: door") })
	if status, _ := ask(99); status != 200 {
		t.Errorf("after a spoilt file a txn got %d", status)
	}
}

// One tenant's flood of clients that come once, twenty times what the door holds, with the appliance standing still: another
// tenant's txns that come last are let wait, and settled, and no one of the flood is left without an answer.
func TestFloodOfOneOffClients(t *testing.T) {
	file := filepath.Join(t.TempDir(), "operator.conf")
	if err := os.WriteFile(file, []byte("door on\ndoor-txns 48\ndoor-client header X-Client\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("SWITCHFORK_OPERATOR", file)
	let := make(chan struct{})
	b := newBox(t, nil)
	b.SetHandler(func(c net.Conn, nth int) bool { <-let; return answers(ok("yes"))(c, nth) })
	a := launch(t, func(conf string) string {
		conf = strings.ReplaceAll(conf, `"SloMs":600.0,"HardLimitMs":2000.0`, `"SloMs":30000.0,"HardLimitMs":60000.0`)
		return strings.ReplaceAll(conf, `"Parties":[{"Name":"acme"}]`, `"Parties":[{"Name":"acme","Fraction":0.5},{"Name":"beqa","Fraction":0.5}]`)
	}, host("s-1", b.Addr(), "active", 41))
	a.healthy(t)
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 100, MaxIdleConnsPerHost: 100}}
	ask := func(tenant string, n int) int {
		r, _ := http.NewRequest("GET", fmt.Sprintf("%s/lookup?sid=%016x", a.url, n), nil)
		r.Header.Set("X-Request-Id", fmt.Sprint(tenant, n))
		r.Header.Set("X-Tenant", tenant)
		r.Header.Set("X-Client", fmt.Sprint(tenant, n))
		res, err := client.Do(r)
		if err != nil {
			t.Error(err)
			return 0
		}
		res.Body.Close()
		return res.StatusCode
	}
	const many, quiet = 960, 5
	statuses := make(chan int, many)
	for n := range many {
		go func() { statuses <- ask("acme", n+1) }()
	}
	refused := 0
	for range many - 48 { // all that the door does not hold
		if s := <-statuses; s == 503 {
			refused++
		}
	}
	last := make(chan int, quiet)
	for n := range quiet {
		go func() { last <- ask("beqa", n+1) }()
	}
	for range quiet { // each takes the place of one of the flood
		if s := <-statuses; s == 503 {
			refused++
		}
	}
	close(let)
	for range quiet {
		if s := <-last; s != 200 {
			t.Errorf("a quiet tenant's txn got %d", s)
		}
	}
	settled := 0
	for range 48 - quiet {
		if s := <-statuses; s == 200 {
			settled++
		}
	}
	if refused != many-48+quiet || settled != 48-quiet {
		t.Errorf("of the flood %d were refused and %d settled, want %d and %d", refused, settled, many-48+quiet, 48-quiet)
	}
}
