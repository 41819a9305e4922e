package council

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"switchfork/rehearsal/standin"
)

// These start three real agents among stand-ins, each with its own relays to the others.

type trio struct {
	t      *testing.T
	world  *standin.World
	agents [3]*standin.Agent
	admin  [3]string
	state  [3]string
	logs   [3]*standin.Log
	dirs   [3]string
	files  [3]string
	relays [3][3]*standin.Relay // from, to
	path   string
}

const trioSLA, trioExpiry = 800 * time.Millisecond, 2 * time.Second

// trioLife and trioLate are the stand-ins' life of a vote, and what the agents take for the time until it is carried out.
const trioLife, trioLate, trioLease = 4 * time.Second, 1300 * time.Millisecond, 600 * time.Millisecond

// program is the agent, built once.
var program = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "switchfork")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "switchfork")
	if out, err := exec.Command("go", "build", "-race", "-o", path, "switchfork/cmd/switchfork").CombinedOutput(); err != nil {
		return path, fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if path, _ := program(); path != "" {
		os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

// newTrio starts three agents that speak over TCP, with state folders, or over the platform's datagrams, without.
func newTrio(t *testing.T, datagrams bool) *trio {
	tr := &trio{t: t}
	var err error
	if tr.path, err = program(); err != nil {
		t.Fatal(err)
	}
	if tr.world, err = standin.NewWorld([]string{"beqa"}, []float64{1}, trioSLA, trioExpiry); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(tr.world.Close)
	if _, err = tr.world.Add(6, 7, 8, 5*time.Millisecond, 1); err != nil {
		t.Fatal(err)
	}
	var listen [3]string
	for i := range 3 {
		if listen[i], err = standin.Free(); err != nil {
			t.Fatal(err)
		}
		if datagrams {
			tr.world.Peers = append(tr.world.Peers, listen[i])
		}
	}
	for i := range 3 {
		tr.dirs[i] = t.TempDir()
		tr.admin[i], tr.state[i] = filepath.Join(tr.dirs[i], "admin"), filepath.Join(tr.dirs[i], "state")
		text := fmt.Sprintf("decider on\ndecider-me %d\ndecider-listen %s\ndecider-state %s\ndecider-lease %v\nadmin %s\n", i, listen[i], tr.state[i], trioLease, tr.admin[i])
		if datagrams {
			text = fmt.Sprintf("decider on\ndecider-lease %v\nadmin %s\n", trioLease, tr.admin[i])
		}
		for j := range 3 {
			if datagrams {
				break
			}
			address := listen[i]
			if j != i {
				if tr.relays[i][j], err = standin.NewRelay(listen[j]); err != nil {
					t.Fatal(err)
				}
				address = tr.relays[i][j].Addr()
				t.Cleanup(tr.relays[i][j].Close)
			}
			text += fmt.Sprintf("decider-peer %d %s\n", j, address)
		}
		tr.files[i], tr.logs[i] = text, &standin.Log{}
		tr.start(i)
	}
	t.Cleanup(func() {
		for i, a := range tr.agents {
			if a != nil {
				a.Thaw()
				a.Kill()
			}
			if t.Failed() {
				t.Logf("agent %d: %s", i, tr.logs[i].String())
			}
		}
	})
	return tr
}

func (tr *trio) start(i int) {
	tr.t.Helper()
	a, err := tr.world.StartAs(i, 3, tr.path, tr.dirs[i], tr.files[i], 7, 128, tr.logs[i])
	if err != nil {
		tr.t.Fatalf("%v: %s", err, tr.logs[i].String())
	}
	tr.agents[i] = a
}

// lead waits until one agent that is not in but says that it leads.
func (tr *trio) lead(but int, within time.Duration) int {
	tr.t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for i := range 3 {
			if i != but {
				if r, err := Ask(tr.admin[i]); err == nil && r.Leads {
					return i
				}
			}
		}
	}
	tr.t.Fatalf("nobody leads after %v", within)
	return -1
}

func (tr *trio) until(what string, within time.Duration, is func() bool) {
	tr.t.Helper()
	for end := time.Now().Add(within); !is(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			tr.t.Fatalf("no %s after %v; votes %+v", what, within, tr.world.Log())
		}
	}
}

// load sends a modest load to some agents until the end.
func (tr *trio) load(ctx context.Context, to ...int) {
	for _, i := range to {
		clients := standin.NewClients(tr.agents[i].URL, trioSLA, trioExpiry)
		go clients.Send(ctx, int64(i), standin.Crew{Tenant: "beqa", Rate: 60})
	}
}

func (tr *trio) cut(i int, on bool) {
	for j := range 3 {
		if j != i {
			tr.relays[i][j].Cut(on)
			tr.relays[j][i].Cut(on)
		}
	}
}

// contrary finds two contrary votes on one stage of which the first may still count when the second comes.
func contrary(votes []standin.CastVote) string {
	for i, a := range votes {
		for _, b := range votes[i+1:] {
			if a.Build == b.Build && a.Stage == b.Stage && a.Opinion != b.Opinion && b.At.Sub(a.At) < trioLife {
				return fmt.Sprintf("%s at %v and %s %v later on build %d stage %d", a.Opinion, a.At, b.Opinion, b.At.Sub(a.At), a.Build, a.Stage)
			}
		}
	}
	return ""
}

// The checker finds what it is for.
func TestContraryIsFound(t *testing.T) {
	at := time.Now()
	on, back := standin.CastVote{At: at, Build: 8, Opinion: "approve"}, standin.CastVote{At: at.Add(time.Second), Build: 8, Opinion: "reject"}
	if contrary([]standin.CastVote{on, back}) == "" {
		t.Error("contrary votes within a vote's life are not found")
	}
	back.At = at.Add(trioLife)
	if found := contrary([]standin.CastVote{on, back}); found != "" {
		t.Errorf("found %s", found)
	}
}

// The one that leads casts on, the launcher falls silent, and the process stands still across its lease. The build goes bad,
// and the next one sends it back; but not while the first one's vote may count, and the first one, awake again, casts nothing
// against it. Then a planned hand-over, and a member out and in again.
func TestThreeAgents(t *testing.T) {
	t.Parallel()
	tr := newTrio(t, false)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	old := tr.lead(-1, 20*time.Second)
	tr.load(ctx, 0, 1, 2)
	fresh, err := tr.world.Add(4, 8, 8, 5*time.Millisecond, 100)
	if err != nil {
		t.Fatal(err)
	}
	tr.world.News(8, 0, "testing", 0.2)
	tr.world.Silence(true)
	tr.until("vote on", 20*time.Second, func() bool { return tr.world.Votes("approve") > 0 })
	if n := len(tr.world.Log()); n != 1 {
		t.Errorf("%d votes while one leads, want one: %+v", n, tr.world.Log())
	}
	if now := tr.lead(-1, 5*time.Second); now != old {
		t.Logf("the lead has gone from %d to %d", old, now)
		old = now
	}
	frozen := time.Now()
	tr.agents[old].Freeze()
	for _, a := range fresh {
		a.Fail(1)
	}
	next := tr.lead(old, 10*time.Second)
	t.Logf("agent %d leads %v after %d was frozen", next, time.Since(frozen), old)
	tr.world.Silence(false)
	time.Sleep(2 * trioLease)
	tr.agents[old].Thaw()
	tr.until("vote to go back", 30*time.Second, func() bool { return tr.world.Votes("reject") > 0 })
	t.Logf("sent back %v after the freeze", time.Since(frozen))
	time.Sleep(time.Second)
	if found := contrary(tr.world.Log()); found != "" {
		t.Error(found)
	}
	tr.world.News(8, 0, "recalled", 0)

	// Planned: SIGTERM passes the lead on.
	lead := tr.lead(-1, 5*time.Second)
	began := time.Now()
	go tr.agents[lead].Stop()
	next = tr.lead(lead, 5*time.Second)
	took := time.Since(began)
	if took > trioLease/2 {
		t.Errorf("a planned hand-over took %v, a lease is %v", took, trioLease)
	}
	t.Logf("planned hand-over from %d to %d seen after %v", lead, next, took)

	// A member goes, one at a time, and comes back; its memory has survived.
	tr.until("end of the one that left", 12*time.Second, func() bool { return strings.Contains(tr.logs[lead].String(), "msg=ended") })
	tr.until("removal", 5*time.Second, func() bool { return Move(tr.admin[next], "remove", lead) == nil })
	time.Sleep(100 * time.Millisecond)
	if r, err := Ask(tr.admin[next]); err != nil || len(r.Members) != 2 {
		t.Fatalf("members after the removal: %+v, %v", r, err)
	}
	tr.start(lead)
	time.Sleep(2 * trioLease)
	if r, err := Ask(tr.admin[next]); err != nil || !r.Leads {
		t.Errorf("who was removed has disturbed the lead: %+v, %v", r, err)
	}
	tr.until("adding", 5*time.Second, func() bool { return Move(tr.admin[next], "add", lead) == nil })
	tr.until("three members at the one that came back", 5*time.Second, func() bool {
		r, err := Ask(tr.admin[lead])
		return err == nil && len(r.Members) == 3
	})
	res, err := client(tr.admin[next]).Get("http://agent/metrics")
	if err != nil || res.StatusCode != http.StatusOK {
		t.Fatalf("metrics: %v", err)
	}
	var text bytes.Buffer
	text.ReadFrom(res.Body)
	res.Body.Close()
	if !strings.Contains(text.String(), "switchfork_decider_terms_total") {
		t.Errorf("metrics are %s", text.String())
	}
	if out, err := exec.Command(tr.path, "lead", "--admin", tr.admin[next]).CombinedOutput(); err != nil || !bytes.Contains(out, []byte("leads, term")) {
		t.Errorf("switchfork lead says %s, %v", out, err)
	}
	tr.agents[lead].Stop()
	if out, err := exec.Command(tr.path, "state", "verify", tr.state[lead]).CombinedOutput(); err != nil {
		t.Errorf("state verify says %s, %v", out, err)
	}
}

// Over the platform's datagrams and without disks: one leads, one alone votes, and when its process is killed the next one leads. The one
// that starts again abstains, and members do not change where an agent could forget them.
func TestThreeAgentsOverDatagrams(t *testing.T) {
	t.Parallel()
	tr := newTrio(t, true)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	old := tr.lead(-1, 20*time.Second)
	if err := Move(tr.admin[old], "remove", (old+1)%3); err == nil || !strings.Contains(err.Error(), "state folder") {
		t.Errorf("a change of members without disks: %v", err)
	}
	tr.load(ctx, 0, 1, 2)
	if _, err := tr.world.Add(4, 8, 8, 5*time.Millisecond, 100); err != nil {
		t.Fatal(err)
	}
	tr.world.News(8, 0, "testing", 0.2)
	tr.until("vote on", 20*time.Second, func() bool { return tr.world.Votes("approve") > 0 })
	if n := len(tr.world.Log()); n != 1 {
		t.Errorf("%d votes while one leads, want one: %+v", n, tr.world.Log())
	}
	killed := time.Now()
	tr.agents[old].Kill()
	next := tr.lead(old, 10*time.Second)
	t.Logf("agent %d leads %v after %d was killed", next, time.Since(killed), old)
	tr.start(old)
	if r, err := Ask(tr.admin[old]); err != nil || r.AbstainsMS <= 0 {
		t.Errorf("who started again without a memory stands as %+v, %v", r, err)
	}
	if found := contrary(tr.world.Log()); found != "" {
		t.Error(found)
	}
}

// Cut off from the others with a bad build at hand, an agent sends nothing more to it, and goes on when it may decide again.
func TestCutOffAgentStopsAlone(t *testing.T) {
	t.Parallel()
	tr := newTrio(t, false)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	lead := tr.lead(-1, 20*time.Second)
	alone := (lead + 1) % 3
	fresh, err := tr.world.Add(4, 8, 8, 5*time.Millisecond, 100)
	if err != nil {
		t.Fatal(err)
	}
	for _, a := range fresh {
		a.Fail(1)
	}
	tr.cut(alone, true)
	tr.world.News(8, 0, "testing", 0.2)
	tr.load(ctx, alone)
	tr.until("stop of the one that is cut off", 20*time.Second, func() bool { return strings.Contains(tr.logs[alone].String(), "stops sending to the build by itself") })
	if votes := tr.world.Log(); len(votes) != 0 {
		t.Errorf("votes %+v, of agents that have seen nothing or may not vote", votes)
	}
	time.Sleep(500 * time.Millisecond) // what was out to it has come back
	count := func() (n int) {
		for _, a := range fresh {
			n += int(a.Got())
		}
		return n
	}
	before := count()
	time.Sleep(2 * time.Second)
	if now := count(); now != before {
		t.Errorf("%d txns went to the bad build after the stop", now-before)
	}
	tr.cut(alone, false)
	tr.until("vote to go back", 20*time.Second, func() bool { return tr.world.Votes("reject") > 0 })
}

// A fourth agent joins as the operators' page says: its line into the old agents' files and SIGHUP, it starts with the old ones'
// lines only, and is let in by the command; until then nothing that it says counts.
func TestFourthAgentJoins(t *testing.T) {
	t.Parallel()
	tr := newTrio(t, false)
	listen, err := standin.Free()
	if err != nil {
		t.Fatal(err)
	}
	dir, out := t.TempDir(), &standin.Log{}
	admin := filepath.Join(dir, "admin")
	text := fmt.Sprintf("decider on\ndecider-me 3\ndecider-listen %s\ndecider-state %s\ndecider-lease %v\nadmin %s\n", listen, filepath.Join(dir, "state"), trioLease, admin)
	for i := range 3 {
		for _, line := range strings.Split(tr.files[i], "\n") {
			if strings.HasPrefix(line, "decider-listen") {
				text += fmt.Sprintf("decider-peer %d %s\n", i, strings.Fields(line)[1])
			}
		}
		tr.files[i] += fmt.Sprintf("decider-peer 3 %s\n", listen)
		if err := os.WriteFile(filepath.Join(tr.dirs[i], "operator.conf"), []byte(tr.files[i]), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := tr.agents[i].Reload(); err != nil {
			t.Fatal(err)
		}
	}
	fourth, err := tr.world.StartAs(3, 4, tr.path, dir, text, 7, 128, out)
	if err != nil {
		t.Fatalf("%v: %s", err, out.String())
	}
	t.Cleanup(fourth.Kill)
	lead := tr.lead(-1, 20*time.Second)
	time.Sleep(2 * trioLease)
	if r, err := Ask(admin); err != nil || len(r.Members) != 0 || r.Leads {
		t.Errorf("before it is let in the fourth stands as %+v, %v", r, err)
	}
	tr.until("adding", 5*time.Second, func() bool {
		return exec.Command(tr.path, "members", "add", "3", "--admin", tr.admin[lead]).Run() == nil
	})
	tr.until("four members at the fourth", 15*time.Second, func() bool {
		r, err := Ask(admin)
		return err == nil && len(r.Members) == 4 && r.AbstainsMS == 0
	})
	tr.agents[lead].Kill()
	tr.until("a lead of three of four", 10*time.Second, func() bool {
		for _, path := range append(tr.admin[:], admin) {
			if r, err := Ask(path); err == nil && r.Leads && r.Me != lead {
				return true
			}
		}
		return false
	})
}
