package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"switchfork/internal/fakes"

	"github.com/spf13/cobra"
	"golang.org/x/term"
)

// This file owns what is played with the real agent: the demo, and the door's short form on loopback.

const (
	demoSLA, demoExpiry = 800 * time.Millisecond, 2 * time.Second
	demoBoxes, demoSlot = 12, 4
	demoWork            = 40 * time.Millisecond
	demoBuild           = 7
	// demoLoad is a sixth of what the appliances can do: a machine with few cores plays clients and appliances too.
	demoLoad, demoMemory = 200.0, 128
)

var crews = []string{"koro-array", "reef-calor", "tavua-muon", "beqa-scint"}

// agentProgram is the agent, built into a folder unless one is named.
func agentProgram(dir, named string) (string, error) {
	if named != "" {
		return named, nil
	}
	return fakes.BuildAgent(dir, "switchfork")
}

// tail keeps the agent's log and reads its lines.
type tail struct {
	mu  sync.Mutex
	all bytes.Buffer
}

func (t *tail) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.all.Write(b)
}

// lines are the log's lines with a message, decoded.
func (t *tail) lines(msg string) (out []map[string]any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range bytes.Split(t.all.Bytes(), []byte("\n")) {
		var m map[string]any
		if json.Unmarshal(l, &m) == nil && m["msg"] == msg {
			out = append(out, m)
		}
	}
	return out
}

func (t *tail) text() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.all.String()
}

// stage is a world with an agent in it.
type stage struct {
	world *fakes.Deployment
	agent *fakes.Agent
	log   *tail
	dir   string
}

func (s *stage) close() {
	if s.agent != nil {
		s.agent.Stop()
	}
	s.world.Close()
	os.RemoveAll(s.dir)
}

func raise(program, operator string) (*stage, error) {
	dir, err := os.MkdirTemp("", "switchfork-lab")
	if err != nil {
		return nil, err
	}
	s := &stage{log: &tail{}, dir: dir}
	if program, err = agentProgram(dir, program); err != nil {
		os.RemoveAll(dir)
		return nil, err
	}
	if s.world, err = fakes.NewDeployment(crews, shares, demoSLA, demoExpiry); err != nil {
		os.RemoveAll(dir)
		return nil, err
	}
	if _, err = s.world.Add(demoBoxes, demoBuild, demoSlot, demoWork, 1); err == nil {
		s.agent, err = s.world.Start(program, dir, operator, demoBuild, demoMemory, s.log)
	}
	if err != nil {
		s.close()
		return nil, fmt.Errorf("%w\n%s", err, s.log.text())
	}
	return s, nil
}

const demoOperator = "door on\nlog-form json\ndoor-client header X-Client\n"

func demoCommand() *cobra.Command {
	var flood, program string
	var bad bool
	var length time.Duration
	c := &cobra.Command{
		Use: "demo", Short: "the agent at work on loopback, among stand-ins, with a release on its way", Args: none,
		RunE: func(c *cobra.Command, _ []string) error {
			if flood != "" && !slices.Contains(crews, flood) {
				return use{fmt.Errorf("--flood is %q, expected one of %s", flood, strings.Join(crews, ", "))}
			}
			if length < 5*time.Second || length > 10*time.Minute {
				return use{fmt.Errorf("--for is %v, expected 5s to 10m", length)}
			}
			return demo(c.OutOrStdout(), program, flood, bad, length)
		},
	}
	c.Flags().StringVar(&flood, "flood", "", "a tenant that sends twenty times its share from a third of the time on")
	c.Flags().BoolVar(&bad, "bad-release", false, "the release fails a third of its txns")
	c.Flags().DurationVar(&length, "for", 30*time.Second, "how long it plays")
	c.Flags().StringVar(&program, "agent", "", "the agent's program; built anew where none is named")
	return c
}

// phases of the demo's release, with the cap of each.
var ceilings = []float64{0.2, 0.6, 1}

func demo(out io.Writer, program, flood string, bad bool, length time.Duration) error {
	fmt.Fprintln(out, "building and starting the agent among stand-ins on loopback ...")
	s, err := raise(program, demoOperator)
	if err != nil {
		return err
	}
	defer s.close()
	clients := fakes.NewClients(s.agent.URL, demoSLA, demoExpiry)
	ctx, stop := context.WithTimeout(context.Background(), length)
	defer stop()
	var load []fakes.ClientGroup
	for i, name := range crews {
		load = append(load, fakes.ClientGroup{Tenant: name, Rate: demoLoad * shares[i], PostShare: 0.4})
	}
	done := make(chan struct{})
	go func() { clients.Send(ctx, 1, load...); close(done) }()
	if flood != "" {
		i := slices.Index(crews, flood)
		go func() {
			select {
			case <-ctx.Done():
			case <-time.After(length / 3):
				clients.Send(ctx, 99, fakes.ClientGroup{Tenant: flood, Rate: 19 * demoLoad * shares[i], PostShare: 0.4})
			}
		}()
	}
	var state atomic.Value
	state.Store("build 7 released")
	release := func() {
		pause := length / 10
		time.Sleep(pause)
		for stage, ceiling := range ceilings {
			fresh, err := s.world.Add([]int{2, 4, 6}[stage], demoBuild+1, demoSlot, demoWork, int64(100*(stage+1)))
			if err != nil {
				return
			}
			for _, a := range fresh {
				if bad {
					a.SetErrorShare(0.33)
				}
			}
			s.world.UpdateRollout(demoBuild+1, stage, "testing", ceiling)
			state.Store(fmt.Sprintf("build 8 on trial, stage %d, cap %.0f%%", stage, 100*ceiling))
			for s.world.Votes("approve") == 0 {
				if s.world.Votes("reject") > 0 {
					s.world.UpdateRollout(demoBuild+1, stage, "recalled", 0)
					state.Store(fmt.Sprintf("build 8 sent back at stage %d", stage))
					return
				}
				select {
				case <-ctx.Done():
					return
				case <-time.After(50 * time.Millisecond):
				}
			}
		}
		s.world.UpdateRollout(demoBuild+1, len(ceilings)-1, "live", 1)
		state.Store("build 8 released")
	}
	released := make(chan struct{})
	go func() { release(); close(released) }()

	file, isFile := out.(*os.File)
	live := isFile && term.IsTerminal(int(file.Fd()))
	began, last := time.Now(), 0
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for over := false; !over; {
		select {
		case <-done:
			over = true
		case <-tick.C:
		}
		memory, descriptors := s.agent.Usage()
		lines := []string{fmt.Sprintf("%3.0f s of %.0f  %s  agent %.0f MB, %d descriptors", time.Since(began).Seconds(), length.Seconds(), state.Load(), memory, descriptors)}
		builds := map[string]int{}
		for _, name := range crews {
			t := clients.Totals(name)
			for b, n := range t.Builds {
				builds[b] += n
			}
			lines = append(lines, fmt.Sprintf("  %-12s offered %6d  settled %6d (in time %3.0f%%)  declined %5d  voided or failed %4d  back %5d",
				name, t.Offered, t.Succeeded, 100*float64(t.InTime)/max(1, float64(t.Offered)), t.Rejected, t.Failed, t.Returned))
		}
		aside := 0
		for _, l := range s.log.lines("appliance") {
			if l["ending"] != nil {
				aside++
			}
		}
		lines = append(lines, fmt.Sprintf("  settled by build 7: %d, by build 8: %d; endings worth a line in the log: %d", builds["7"], builds["8"], aside))
		if live && last > 0 {
			fmt.Fprintf(out, "\033[%dA\033[J", last)
		}
		if live || over || int(time.Since(began).Seconds())%5 == 0 {
			fmt.Fprintln(out, strings.Join(lines, "\n"))
		}
		last = len(lines)
	}
	stop()
	<-released
	settled, offered := 0, 0
	for _, name := range crews {
		t := clients.Totals(name)
		settled, offered = settled+t.Succeeded, offered+t.Offered
	}
	fmt.Fprintf(out, "\n%d of %d txns settled, half of them within %v, 99 in 100 within %v; %s\n", settled, offered,
		clients.LatencyPercentile(50).Round(time.Millisecond), clients.LatencyPercentile(99).Round(time.Millisecond), state.Load())
	return nil
}

// What is asked of the short form: it shares few cores with clients and appliances, so its bars leave room for noise.
const (
	socketOthersBar, socketKeptBar, socketThroughputBar = 0.95, 0.8, 0.9
	// The last quarter may have so much over the most of those before: the load's clients come and go within the day.
	grownMB, grownDescriptors = 4.0, 40
)

// socketDoor plays a quiet day, a noisy one with the door and a noisy one without, each with the real agent.
func socketDoor(out io.Writer, seed int64, times float64, seconds int, logs string) error {
	dir, err := os.MkdirTemp("", "switchfork-lab")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	program, err := agentProgram(dir, "")
	if err != nil {
		return err
	}
	const noisy = 0
	type day struct {
		name, operator string
		times          float64
		shares         []float64 // in time, by tenant
		settled        int
		others         [4]int // of the others: late, declined, failed, came back
		kept, broken   float64
		memory         []float64
		descriptors    []int
	}
	days := []*day{
		{name: "quiet, door", operator: demoOperator, times: 1},
		{name: "noisy, door", operator: demoOperator, times: times},
		{name: "noisy, no door", operator: "log-form json\n", times: times},
	}
	for _, d := range days {
		fmt.Fprintf(out, "playing %s for %d s ...\n", d.name, seconds)
		s, err := raise(program, d.operator)
		if err != nil {
			return err
		}
		clients := fakes.NewClients(s.agent.URL, demoSLA, demoExpiry)
		ctx, stop := context.WithTimeout(context.Background(), time.Duration(seconds)*time.Second)
		var load []fakes.ClientGroup
		for i, name := range crews {
			crew := fakes.ClientGroup{Tenant: name, Rate: demoLoad * shares[i], PostShare: 0.4}
			if i == noisy {
				crew.Rate, crew.UniqueClients = crew.Rate*d.times, d.times > 1
			}
			load = append(load, crew)
		}
		done := make(chan struct{})
		go func() { clients.Send(ctx, seed, load...); close(done) }()
		for quarter := range 4 {
			time.Sleep(time.Duration(seconds)*time.Second/4 - time.Duration(quarter)*time.Millisecond)
			memory, descriptors := s.agent.Usage()
			d.memory, d.descriptors = append(d.memory, memory), append(d.descriptors, descriptors)
		}
		<-done
		stop()
		err = s.agent.Stop()
		s.agent = nil
		if logs != "" {
			name := filepath.Join(logs, strings.NewReplacer(", ", "-", " ", "-").Replace(d.name)+".log")
			if err := os.WriteFile(name, []byte(s.log.text()), 0o644); err != nil {
				s.close()
				return err
			}
		}
		for _, l := range s.log.lines("door") {
			kept, _ := l["kept"].(float64)
			broken, _ := l["broken"].(float64)
			d.kept, d.broken = d.kept+kept, d.broken+broken
		}
		for _, name := range crews {
			t := clients.Totals(name)
			d.shares = append(d.shares, float64(t.InTime)/max(1, float64(t.Offered)))
			d.settled += t.Succeeded
			if name != crews[noisy] {
				for i, n := range []int{t.Succeeded - t.InTime, t.Rejected, t.Failed, t.Returned} {
					d.others[i] += n
				}
			}
		}
		s.close()
		if err != nil {
			return fmt.Errorf("%s: the agent's end: %w", d.name, err)
		}
	}
	var b bars
	fmt.Fprintf(out, "%-16s %-30s %-34s %8s %8s %8s  %-26s %s\n", "day", "in time, by tenant", "others late, declined, failed, back", "settled", "kept", "broken", "MB by quarters", "descriptors")
	for _, d := range days {
		fmt.Fprintf(out, "%-16s %-30s %-34s %8d %8.0f %8.0f  %-26s %v\n", d.name, fmt.Sprintf("%.3f", d.shares), fmt.Sprint(d.others), d.settled, d.kept, d.broken,
			fmt.Sprintf("%.1f", d.memory), d.descriptors)
	}
	quiet, loud := days[0], days[1]
	for i := range crews {
		if i != noisy {
			b.least(crews[i]+" beside its quiet day", loud.shares[i]/quiet.shares[i], socketOthersBar)
		}
	}
	b.least("throughput beside no door", float64(loud.settled)/float64(days[2].settled), socketThroughputBar)
	if loud.kept+loud.broken > 50 {
		b.least("who came back at the told time and got in at once", loud.kept/(loud.kept+loud.broken), socketKeptBar)
	}
	b.most("memory of the last quarter over the most before, MB", loud.memory[3]-slices.Max(loud.memory[:3]), grownMB)
	b.most("descriptors of the last quarter over the most before", float64(loud.descriptors[3]-slices.Max(loud.descriptors[:3])), grownDescriptors)
	if err := b.err(); err != nil {
		return err
	}
	fmt.Fprintln(out, "all bars hold")
	return nil
}
