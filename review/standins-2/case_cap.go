package main

import (
	"fmt"
	"os"
	"sort"
	"sync"
	"time"
)

// exposure checks the rule on exposure over every window that begins at an attempt.
type exposure struct {
	window    time.Duration
	allowance float64
	cap       float64
}

const (
	capSlackAttempts = 2                     // PROTOCOL: 2 attempts and 4% above the cap pass
	capSlackShare    = 1.04                  //
	takenSlack       = 50 * time.Millisecond // PROTOCOL: every time limit is 50 ms longer
)

// check returns the worst window in which the attempts are over the limit.
func (x exposure) check(taken, attempts []time.Time) (broken []string) {
	sort.Slice(taken, func(i, j int) bool { return taken[i].Before(taken[j]) })
	sort.Slice(attempts, func(i, j int) bool { return attempts[i].Before(attempts[j]) })
	count := func(times []time.Time, from, to time.Time) int {
		first := sort.Search(len(times), func(i int) bool { return !times[i].Before(from) })
		end := sort.Search(len(times), func(i int) bool { return times[i].After(to) })
		return end - first
	}
	worst := 0.0
	for _, from := range attempts {
		to := from.Add(x.window)
		sent := count(attempts, from, to)
		got := count(taken, from.Add(-takenSlack), to.Add(takenSlack))
		limit := (x.allowance+x.cap*float64(got))*capSlackShare + capSlackAttempts
		if over := float64(sent) - limit; over > worst {
			worst = over
			broken = []string{fmt.Sprintf("%d attempts at the build on trial in %v, with %d requests taken; allowed %.1f, with the slack of the protocol page",
				sent, x.window, got, limit)}
		}
	}
	return broken
}

// trial starts servers of the released build and of the build on trial, and one agent.
type trial struct {
	agent   *agent
	servers []*endpoint
	builds  map[string]int
}

func (l *lab) newTrial(settings object, stage int, ceiling float64, earlier, newer int, work time.Duration, slots int, operator string) *trial {
	t := &trial{builds: map[string]int{}}
	zones := settings["Localities"].([]string)
	var hosts []entry
	for i := range earlier + newer {
		e := l.newEndpoint(fmt.Sprintf("s-%d", i), work)
		if slots > 0 {
			e.slots = make(chan struct{}, slots)
		}
		listed := e.entry(zones[0])
		if i >= earlier {
			listed.Build = 42
		}
		t.servers = append(t.servers, e)
		t.builds[e.host] = listed.Build
		hosts = append(hosts, listed)
	}
	p := l.newPlatform()
	p.news = fmt.Sprintf("image=42&ring=%d&progress=testing&ceiling=%g&lag_ms=20000", stage, ceiling)
	d := l.newDiscovery("discovery", "127.0.0.1:0", hosts)
	config := agentConfig(0, freeAddress(), d.address(), p.address(), hosts, settings, 1024)
	config["platform"].(object)["news"] = object{"image": 42, "ring": stage, "progress": "testing", "ceiling": ceiling, "lag_ms": 20000}
	if operator != "" {
		must(os.Setenv("SWITCHFORK_OPERATOR", operator))
	}
	t.agent = l.startAgent(config, "")
	t.agent.awaitHealthy()
	return t
}

// attemptsOnTrial returns when attempts have come whole to servers of the build on trial.
func (t *trial) attemptsOnTrial() (attempts []time.Time) {
	for _, server := range t.servers {
		for _, came := range server.seen() {
			if t.builds[server.host] == 42 {
				attempts = append(attempts, came.whole)
			}
		}
	}
	return attempts
}

// takenTimes records when requests have been written to the agent.
type takenTimes struct {
	mu    sync.Mutex
	times []time.Time
}

func (t *takenTimes) add(at time.Time) {
	t.mu.Lock()
	t.times = append(t.times, at)
	t.mu.Unlock()
}

// steady sends requests at a rate until stop is closed.
func (l *lab) steady(t *trial, taken *takenTimes, prefix, class string, every time.Duration, stop <-chan struct{}, group *sync.WaitGroup) {
	group.Add(1)
	go func() {
		defer group.Done()
		ticker := time.NewTicker(every)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			group.Add(1)
			go func() {
				defer group.Done()
				l.askNoting(t.agent.listen, fmt.Sprintf("%s-%05d", prefix, n), class, 2*time.Second, taken.add)
			}()
		}
	}()
}

// caseDoor: with admission control on, one tenant sends twenty times its share for some seconds.
func caseDoor(l *lab) verdict {
	operator := "deploy/operator.conf"
	if os.Getenv("WITHOUT_ADMISSION") != "" { // to see the same without admission control
		operator = ""
	}
	t := l.newTrial(suva(0, 3), 2, 0.48, 9, 7, 190*time.Millisecond, 1, operator)
	taken := &takenTimes{}
	stop := make(chan struct{})
	var group sync.WaitGroup
	l.steady(t, taken, "koro", "lookup", 150*time.Millisecond, stop, &group)
	l.steady(t, taken, "reef", "lookup", 100*time.Millisecond, stop, &group)
	time.Sleep(6 * time.Second)
	for round := range 5 {
		if l.trouble {
			for n := range 300 {
				group.Add(1)
				go func() {
					defer group.Done()
					l.askNoting(t.agent.listen, fmt.Sprintf("koro-burst-%d-%03d", round, n), "lookup", 4*time.Second, taken.add)
				}()
			}
		}
		time.Sleep(8 * time.Second)
	}
	close(stop)
	group.Wait()
	t.agent.copyLog("activity", "admission")
	attempts := t.attemptsOnTrial()
	x := exposure{window: 4 * time.Second, allowance: 3, cap: 0.48}
	return verdict{broken: x.check(taken.times, attempts), seen: fmt.Sprintf("%d requests, %d attempts at the build on trial", len(taken.times), len(attempts))}
}
