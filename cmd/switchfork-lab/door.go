package main

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"

	"switchfork/internal/admission"
	"switchfork/internal/simulation"

	"github.com/spf13/cobra"
)

// This file owns the experiment on the door: what the others get while one tenant floods, beside the same day without it
// and beside simpler doors.

func doorCommand() *cobra.Command {
	var seed int64
	var times float64
	var noisy, oneOff, seconds int
	var sockets bool
	var logs string
	c := &cobra.Command{
		Use: "door", Short: "one tenant floods: what the others get", Args: none,
		RunE: func(c *cobra.Command, _ []string) error {
			switch {
			case times < 1 || noisy < 1 || noisy > 3 || seconds < 5 || seconds > 600 || oneOff < 0 || oneOff > 1_000_000:
				return use{fmt.Errorf("--times from 1, --noisy 1 to 3, --seconds 5 to 600, --one-off 0 to 1000000")}
			case sockets:
				return socketDoor(c.OutOrStdout(), seed, times, min(seconds, 20), logs)
			}
			return simulatedDoor(c.OutOrStdout(), seed, times, noisy, oneOff, seconds)
		},
	}
	c.Flags().Int64Var(&seed, "seed", 1, "of the day")
	c.Flags().Float64Var(&times, "times", 20, "how many times its share a noisy tenant sends")
	c.Flags().IntVar(&noisy, "noisy", 1, "how many tenants are noisy")
	c.Flags().IntVar(&oneOff, "one-off", 5000, "clients that come once")
	c.Flags().IntVar(&seconds, "seconds", 60, "length of a day")
	c.Flags().StringVar(&logs, "logs", "", "a folder for the agent's logs, with --sockets")
	c.Flags().BoolVar(&sockets, "sockets", false, "play a short form with the real agent on loopback")
	return c
}

// The bars.
const (
	othersBar, jainBar, throughputBar, keptBar, toldBar = 0.97, 0.98, 0.98, 0.9, 2.0
	heapBar                                             = 1 << 20
)

// bars collects what does not hold.
type bars []string

func (b *bars) least(what string, got, want float64) {
	if !(got >= want) {
		*b = append(*b, fmt.Sprintf("%s is %.3f, at least %.2f is wanted", what, got, want))
	}
}

func (b *bars) most(what string, got, want float64) {
	if !(got <= want) {
		*b = append(*b, fmt.Sprintf("%s is %.3f, at most %.2f is wanted", what, got, want))
	}
}

func (b bars) err() error {
	if len(b) == 0 {
		return nil
	}
	return fmt.Errorf("bars that do not hold:\n  %s", strings.Join(b, "\n  "))
}

var shares = []float64{0.4, 0.25, 0.2, 0.15}

// settledInTime is a tenant's share of txns that were settled in their SLA time.
func settledInTime(r *simulation.AdmissionResult, tenant int) float64 {
	a := r.Tenants[tenant]
	return float64(a.InTime) / max(1, float64(a.Offered))
}

func total(r *simulation.AdmissionResult) (n float64) {
	for _, a := range r.Tenants {
		n += float64(a.Succeeded)
	}
	return n
}

// jain is Jain's index of the work let in by weight.
func jain(r *simulation.AdmissionResult) float64 {
	sum, squares := 0.0, 0.0
	for i, s := range r.AdmittedCost {
		x := s / shares[i]
		sum, squares = sum+x, squares+x*x
	}
	return sum * sum / (float64(len(r.AdmittedCost)) * squares)
}

func median(of []float64) float64 {
	if len(of) == 0 {
		return 0
	}
	slices.Sort(of)
	return of[len(of)/2]
}

func simulatedDoor(out io.Writer, seed int64, times float64, noisy, oneOff, seconds int) error {
	base := simulation.AdmissionScenario{Seed: seed, Seconds: seconds, Endpoints: 12, Slots: 4, MeanWork: 40_000, Load: 0.6, TenantShares: shares, OneOffClients: oneOff, NoiseFactor: 1}
	loud := base
	loud.NoiseFactor = times
	for i := range noisy {
		loud.NoisyTenants = append(loud.NoisyTenants, i)
	}
	two, fresh, all, slow := loud, loud, base, loud
	two.NoisyTenants = []int{0, 1}
	fresh.UniqueNoisyClients = true
	all.OverloadFactor = 3
	slow.SlowFactor, slow.SlowFrom, slow.SlowTo = 5, int64(seconds)*1_000_000/3, int64(seconds)*1_000_000*2/3

	type play struct {
		name string
		day  simulation.AdmissionScenario
		kind simulation.AdmissionPolicy
	}
	plays := []play{
		{"quiet", base, simulation.FairQueues},
		{"noisy", loud, simulation.FairQueues},
		{"two noisy", two, simulation.FairQueues},
		{"new names", fresh, simulation.FairQueues},
		{"all backlogged", all, simulation.FairQueues},
		{"slow fivefold", slow, simulation.FairQueues},
		{"noisy", loud, simulation.FairQueuesNoReservations},
		{"quiet", base, simulation.FIFO},
		{"noisy", loud, simulation.FIFO},
		{"noisy", loud, simulation.TokenBucket},
		{"all backlogged", all, simulation.FIFO},
	}
	results := make([]*simulation.AdmissionResult, len(plays))
	var wait sync.WaitGroup
	for i, p := range plays {
		wait.Add(1)
		go func() {
			defer wait.Done()
			results[i] = simulation.PlayAdmission(p.day, p.kind)
		}()
	}
	wait.Wait()

	var b bars
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "door\tday\tsettled in time, by tenant\tsettled\tkept\tbroken\tkept share\ttold/needed\tJain\tlimit\n")
	for i, p := range plays {
		r := results[i]
		var parts []string
		for tenant := range shares {
			parts = append(parts, fmt.Sprintf("%.3f", settledInTime(r, tenant)))
		}
		kept := float64(r.Counters.ReservationsHonored) / max(1, float64(r.Counters.ReservationsHonored+r.Counters.ReservationsMissed))
		fmt.Fprintf(t, "%s\t%s\t%s\t%.0f\t%d\t%d\t%.3f\t%.2f\t%.4f\t%.0f\n", p.kind, p.name, strings.Join(parts, " "), total(r),
			r.Counters.ReservationsHonored, r.Counters.ReservationsMissed, kept, median(r.RetryAfterRatios), jain(r), r.ConcurrencyLimits[len(r.ConcurrencyLimits)-1])
		if p.kind != simulation.FairQueues {
			continue
		}
		quietOnes := func(from int) {
			for tenant := from; tenant < len(shares); tenant++ {
				b.least(fmt.Sprintf("%s: tenant %d beside its quiet day", p.name, tenant), settledInTime(r, tenant)/settledInTime(results[0], tenant), othersBar)
			}
		}
		switch p.name {
		case "noisy", "new names":
			quietOnes(noisy)
			b.least(p.name+": who came back at the told time and got in at once", kept, keptBar)
			b.most(p.name+": told wait over the needed one, median", median(r.RetryAfterRatios), toldBar)
			b.least(p.name+": throughput beside first in, first out", total(r)/total(results[8]), throughputBar)
		case "two noisy":
			quietOnes(2)
		case "all backlogged":
			b.least("Jain's index by weight", jain(r), jainBar)
			b.least(p.name+": throughput beside first in, first out", total(r)/total(results[10]), throughputBar)
		}
	}
	t.Flush()
	few, many := heapAfter(10_000), heapAfter(100_000)
	fmt.Fprintf(out, "heap after 10,000 one-off clients %d KiB, after 100,000 %d KiB\n", few>>10, many>>10)
	b.most("heap after ten times the one-off clients, MiB more", float64(many-few)/heapBar, 1)
	if err := b.err(); err != nil {
		return err
	}
	fmt.Fprintln(out, "all bars hold")
	return nil
}

// heapAfter is the heap that a door holds after so many clients that came once, half of whom were turned away.
func heapAfter(clients int) int64 {
	d := admission.New([]admission.RequestClass{{LatencyObjective: 800_000, Timeout: 2_000_000, PriorityWeight: 1}}, []admission.Tenant{{Weight: 1}},
		admission.Limits{Requests: 1000, Bytes: 1 << 30, Queues: 64}, admission.RetryAfterLimits{Max: 2_000_000}, false, 1)
	now, in := int64(0), []uint64{}
	take := func(orders []admission.Command) {
		for _, o := range orders {
			if o.Kind == admission.Admit {
				in = append(in, o.ID)
			}
		}
	}
	for id := range uint64(clients) {
		now += 1000
		take(d.Arrive(now, admission.Arrival{ID: id + 1, Client: id, Key: id + 1, Deadline: now + 2_000_000, Bytes: 400}))
		if next := d.NextTimer(); next > 0 && next <= now {
			take(d.TimerFired(now))
		}
		if id%2 == 0 && len(in) > 0 {
			first := in[0]
			in = in[1:]
			take(d.AttemptSent(now, first))
			take(d.Finish(now, first, admission.Succeeded))
		}
	}
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	runtime.KeepAlive(d)
	return int64(m.HeapAlloc)
}
