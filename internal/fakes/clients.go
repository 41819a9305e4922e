package fakes

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Totals is what became of one tenant's txns.
type Totals struct {
	Offered, Succeeded, InTime, Rejected, Failed, Returned int
	Builds                                                 map[string]int
}

// ClientGroup is a tenant's clients: an open load, whose arrivals do not wait for answers.
type ClientGroup struct {
	Tenant        string
	Rate          float64 // txns a second
	PostShare     float64 // the part that posts
	UniqueClients bool    // every txn from a client of its own
}

// Clients send for crews and keep the account.
type Clients struct {
	url      string
	sla      time.Duration
	expiry   time.Duration
	pools    map[string]*pool // each tenant's clients have connections of their own
	mu       sync.Mutex
	tallies  map[string]*Totals
	took     *hdrhistogram.Histogram
	serial   atomic.Int64
	inflight sync.WaitGroup
}

// quietConns and loudConns bound a tenant's connections, so that all tenants' together are a part of what an agent with
// 1,024 descriptors lets in: a tenant that sends over loudRate gets the larger number.
const quietConns, loudConns, loudRate, backTries = 50, 400, 400.0, 2

func NewClients(url string, sla, expiry time.Duration) *Clients {
	return &Clients{
		url: url, sla: sla, expiry: expiry, pools: map[string]*pool{}, tallies: map[string]*Totals{},
		took: hdrhistogram.New(1, 60_000_000, 3),
	}
}

// pool is a crew's connections; a client waits for one of them and knows how much of its time that took.
type pool struct {
	places chan struct{}
	http   *http.Client
}

// pool is where a crew's clients have their connections.
func (c *Clients) pool(crew ClientGroup) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	most, name := quietConns, crew.Tenant
	if crew.Rate > loudRate {
		most, name = loudConns, crew.Tenant+" loud"
	}
	if c.pools[name] == nil {
		c.pools[name] = &pool{make(chan struct{}, most), &http.Client{Transport: &http.Transport{
			MaxIdleConns: most, MaxIdleConnsPerHost: most,
			IdleConnTimeout: time.Second, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
		}}}
	}
	return c.pools[name]
}

// Send runs the crews' load until the context ends, and then waits for the last answers.
func (c *Clients) Send(ctx context.Context, seed int64, crews ...ClientGroup) {
	var senders sync.WaitGroup
	for i, crew := range crews {
		senders.Add(1)
		go func() {
			defer senders.Done()
			chance, pool := rand.New(rand.NewSource(seed+int64(i))), c.pool(crew)
			next := time.Now()
			for n := 0; ; n++ {
				next = next.Add(time.Duration(chance.ExpFloat64() / crew.Rate * float64(time.Second)))
				select {
				case <-ctx.Done():
					return
				case <-time.After(time.Until(next)):
				}
				client := strconv.Itoa(n % 10)
				if crew.UniqueClients {
					client = fmt.Sprint("fresh-", n)
				}
				post := chance.Float64() < crew.PostShare
				c.inflight.Add(1)
				go func() {
					defer c.inflight.Done()
					c.ask(pool, crew.Tenant, client, post)
				}()
			}
		}()
	}
	senders.Wait()
	c.inflight.Wait()
}

// ask is one txn with its next tries.
func (c *Clients) ask(pool *pool, tenant, client string, post bool) {
	serial := c.serial.Add(1)
	key := fmt.Sprintf("%032x", serial)
	c.count(tenant, func(t *Totals) { t.Offered++ })
	for try := 0; try <= backTries; try++ {
		began := time.Now()
		method, target := "GET", fmt.Sprintf("/lookup?sid=%016x", serial)
		if post {
			method, target = "POST", fmt.Sprintf("/posting?sid=%016x", serial)
		}
		select {
		case pool.places <- struct{}{}:
		case <-time.After(c.expiry):
			c.count(tenant, func(t *Totals) { t.Failed++ }) // it never got as far as the agent
			return
		}
		left := c.expiry - time.Since(began)
		ctx, stop := context.WithTimeout(context.Background(), left+time.Second)
		r, _ := http.NewRequestWithContext(ctx, method, c.url+target, nil)
		if post {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader("beam=1")), 6
			r.Header.Set("Idempotency-Key", key)
		}
		r.Header.Set("X-Request-Id", fmt.Sprintf("%x-%d", serial, try))
		r.Header.Set("X-Tenant", tenant)
		r.Header.Set("X-Client", client)
		r.Header.Set("X-Deadline-Ms", strconv.FormatInt(max(1, left.Milliseconds()), 10))
		if try > 0 {
			r.Header.Set("X-Retry", "1")
		}
		res, err := pool.http.Do(r)
		if err != nil {
			<-pool.places
			stop()
			c.count(tenant, func(t *Totals) { t.Failed++ })
			return
		}
		body, _ := io.ReadAll(res.Body)
		res.Body.Close()
		<-pool.places
		stop()
		took := time.Since(began)
		switch {
		case res.StatusCode == http.StatusOK:
			_, build, _ := strings.Cut(string(body), " ")
			c.count(tenant, func(t *Totals) {
				t.Succeeded++
				t.Builds[build]++
				if took <= c.sla {
					t.InTime++
				}
				c.took.RecordValue(took.Microseconds())
			})
			return
		case res.StatusCode == http.StatusServiceUnavailable:
			wait, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
			if err != nil || try == backTries {
				c.count(tenant, func(t *Totals) { t.Rejected++ })
				return
			}
			time.Sleep(time.Duration(wait * float64(time.Second)))
			c.count(tenant, func(t *Totals) { t.Returned++ })
		default:
			c.count(tenant, func(t *Totals) { t.Failed++ })
			return
		}
	}
}

func (c *Clients) count(tenant string, what func(*Totals)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tallies[tenant]
	if t == nil {
		t = &Totals{Builds: map[string]int{}}
		c.tallies[tenant] = t
	}
	what(t)
}

// Totals is what became of a tenant's txns so far.
func (c *Clients) Totals(tenant string) Totals {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.tallies[tenant]; t != nil {
		copied := *t
		copied.Builds = map[string]int{}
		for b, n := range t.Builds {
			copied.Builds[b] = n
		}
		return copied
	}
	return Totals{Builds: map[string]int{}}
}

// LatencyPercentile is a quantile, in percent, of the settled answers' times.
func (c *Clients) LatencyPercentile(percent float64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.took.ValueAtQuantile(percent)) * time.Microsecond
}
