package main

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"switchfork/internal/cluster/election"
	"switchfork/internal/cluster/transport"
	"switchfork/internal/simulation"

	"github.com/spf13/cobra"
)

// This file owns the experiment on the decider: random schedules of troubles, checked at the launcher's model.

var guards = map[string]election.DisabledGuards{"": {}, "lease": {LeaseExpiry: true}, "record": {QuorumBeforeCast: true}, "wait": {WaitForEarlierVotes: true}, "prevote": {Prevote: true}, "begin": {LeaseFromStart: true}}

func deciderCommand() *cobra.Command {
	var seed int64
	var schedules, agents, seconds int
	var without string
	c := &cobra.Command{
		Use: "decider", Short: "one decider at a time: random partitions, standstills, restarts", Args: none,
		RunE: func(c *cobra.Command, _ []string) error {
			off, known := guards[without]
			if !known || schedules < 1 || schedules > 1_000_000 || agents < 1 || agents > 9 || seconds < 10 || seconds > 600 {
				return use{fmt.Errorf("--schedules 1 to 1000000, --agents 1 to 9, --seconds 10 to 600, --without lease, record, wait, prevote or begin")}
			}
			return deciders(c.OutOrStdout(), seed, schedules, agents, seconds, without, off)
		},
	}
	c.Flags().Int64Var(&seed, "seed", 1, "of the first schedule")
	c.Flags().IntVar(&schedules, "schedules", 10_000, "how many are played")
	c.Flags().IntVar(&agents, "agents", 3, "how many agents")
	c.Flags().IntVar(&seconds, "seconds", 40, "length of a schedule")
	c.Flags().StringVar(&without, "without", "", "switch a guard off: lease, record, wait, prevote or begin; the experiment should then fail")
	return c
}

// gapBar: so many leases without a decider after a crash, at the 99th percentile; handOverBar in milliseconds of a network whose way takes 2 ms
// at the most: a round trip and a half.
const gapBar, handOverBar = 3.0, 6.0

// slowWay: a ballot takes four ways, so with a tenth of a lease each it lasts longer than the pause between two renewals.
const slowWay = 10

// playAll plays schedules on all cores, in the order of their seeds.
func playAll(schedules []simulation.Schedule) []*simulation.Night {
	nights := make([]*simulation.Night, len(schedules))
	next := make(chan int)
	var wait sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for i := range next {
				nights[i] = simulation.PlayNight(schedules[i])
			}
		}()
	}
	for i := range schedules {
		next <- i
	}
	close(next)
	wait.Wait()
	return nights
}

// variant is the same schedules, changed.
func variant(of []simulation.Schedule, how func(*simulation.Schedule)) []simulation.Schedule {
	out := slices.Clone(of)
	for i := range out {
		how(&out[i])
	}
	return out
}

func quantile(of []float64, q float64) float64 {
	if len(of) == 0 {
		return 0
	}
	slices.Sort(of)
	return of[min(len(of)-1, int(q*float64(len(of))))]
}

func deciders(out io.Writer, seed int64, schedules, agents, seconds int, without string, off election.DisabledGuards) error {
	began := time.Now()
	var drawn, crashes, planned []simulation.Schedule
	for i := range schedules {
		drawn = append(drawn, simulation.Schedule{Seed: seed + int64(i), Agents: agents, Seconds: seconds, Without: off})
	}
	for i := range min(schedules, 1000) {
		s := simulation.Schedule{Seed: seed + int64(i), Agents: agents, Seconds: seconds, Without: off, Calm: true}
		crashes = append(crashes, s)
		s.Planned = true
		planned = append(planned, s)
	}
	var b bars
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "nights\tplayed\tleads\thand-overs\tvotes\tmembers changed\tmessages an agent a second\twithout a decider, s: median\t99th\tworst\tback after, s: median\tworst\tnever\tviolations")
	lease := float64(simulation.NightLease())
	nevers := 0
	row := func(name string, nights []*simulation.Night, from []simulation.Schedule) (gaps []float64) {
		leads, over, votes, messages, changes, broken, never := 0, 0, 0, 0, 0, 0, 0
		var backs []float64
		for i, n := range nights {
			changes += n.Changes
			leads, over, votes, messages = leads+n.Terms, over+n.HandOvers, votes+n.Votes, messages+n.Messages
			for j, g := range n.Gaps {
				if j > 0 || from != nil && !from[i].Calm { // the first is the start
					gaps = append(gaps, float64(g)/1e6)
				}
			}
			if n.BackAfter >= 0 {
				backs = append(backs, float64(n.BackAfter)/1e6)
			} else {
				never++
			}
			if len(n.Violations) > 0 {
				if broken++; broken == 1 && from != nil {
					b = append(b, fmt.Sprintf("%s: seed %d: %s", name, from[i].Seed, n.Violations[0]))
				}
			}
		}
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.3f\t%.3f\t%.3f\t%.2f\t%.2f\t%d\t%d\n", name, len(nights), leads, over, votes, changes,
			float64(messages)/float64(len(nights)*agents*seconds), quantile(gaps, 0.5), quantile(gaps, 0.99), quantile(gaps, 1),
			quantile(backs, 0.5), quantile(backs, 1), never, broken)
		nevers = never
		return gaps
	}
	row("troubled", playAll(drawn), drawn)
	if without == "" && agents > 2 {
		b.most("nights in which a bad release was never sent back", float64(nevers), 0)
	}
	if without == "" && agents > 2 {
		gaps := row("calm, who leads crashes", playAll(crashes), crashes)
		b.most("leases without a decider after a crash, 99th", quantile(gaps, 0.99)*1e6/lease, gapBar)
		slow := playAll(variant(crashes, func(s *simulation.Schedule) { s.Slow = simulation.NightLease() / slowWay }))
		gaps = row("calm, a way takes a tenth of a lease, who leads crashes", slow, crashes)
		b.most("the same on ways that take a tenth of a lease, 99th", quantile(gaps, 0.99)*1e6/lease, gapBar)
		gaps = row("calm, who leads leaves", playAll(planned), planned)
		b.most("ms without a decider at a planned hand-over, 99th", quantile(gaps, 0.99)*1e3, handOverBar)
	}
	row("troubled, each votes by itself", playAll(variant(drawn, func(s *simulation.Schedule) { s.Each = true })), nil)
	var rest [2]float64
	for i, agents := range []int{3, 5, 7, 9} {
		nights := playAll(variant(drawn[:min(schedules, 50)], func(s *simulation.Schedule) { s.Calm, s.Rest, s.Agents = true, true, agents }))
		sum := 0.0
		for _, n := range nights {
			sum += float64(n.Messages) / float64(len(nights)*agents*seconds)
		}
		if rest[1] = sum; i == 0 {
			rest[0] = sum
		}
		fmt.Fprintf(t, "calm, %d agents: %.1f messages, %.0f bytes an agent a second\n", agents, sum, sum*float64(transport.FrameSize()))
	}
	if without == "" {
		b.most("messages an agent a second, 9 agents beside 3", rest[1]/rest[0], 9.0/3)
	}
	t.Flush()
	fmt.Fprintf(out, "played in %v\n", time.Since(began).Round(time.Second))
	if err := b.err(); err != nil {
		return err
	}
	fmt.Fprintln(out, "no violation; all bars hold")
	return nil
}
