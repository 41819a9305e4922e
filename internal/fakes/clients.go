package fakes

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxClientRetries bounds the retries of a request that is rejected with a Retry-After header.
	maxClientRetries = 2
	// clientsPerGroup is the number of clients in a group without UniqueClients.
	clientsPerGroup = 10
	// clientTimeoutMargin is how long a client still waits for the agent's answer after the deadline of the attempt.
	clientTimeoutMargin = time.Second
	// postBody is the body of every POST.
	postBody = "beam=1"
	// maxLatencyMicros is the upper limit of the latency histogram.
	maxLatencyMicros = 60_000_000
	// latencyDigits is the precision of the latency histogram in decimal digits.
	latencyDigits = 3
)

// errNoFreeConnection means that a tenant's requests in progress use all of its connections.
var errNoFreeConnection = errors.New("no free connection to the agent")

// Totals counts the outcomes of a tenant's requests.
type Totals struct {
	Offered   int
	Succeeded int
	InTime    int // successes within the latency objective
	Rejected  int
	Failed    int
	Retries   int            // retries after a rejection
	Builds    map[string]int // successes by the build that answered
}

// ClientGroup describes the load of a group of a tenant's clients. The load is open-loop: clients send requests without waiting for
// the answers to earlier ones.
type ClientGroup struct {
	Tenant        string
	Rate          float64 // requests a second
	PostShare     float64 // share of the requests that are POSTs
	UniqueClients bool    // each request comes from a new client
}

// Clients send requests to an agent and count the outcomes.
type Clients struct {
	url       string
	objective time.Duration
	timeout   time.Duration
	serial    atomic.Int64 // serial number of the last request
	inFlight  sync.WaitGroup

	mu      sync.Mutex
	pools   map[string]*clientPool
	totals  map[string]*Totals // by tenant
	latency *hdrhistogram.Histogram
}

// clientRequest holds the values that all attempts of a request have in common.
type clientRequest struct {
	serial int64
	tenant string
	client string
	isPost bool
}

// NewClients returns clients that send requests with this latency objective and timeout to the agent at url.
func NewClients(url string, objective, timeout time.Duration) *Clients {
	return &Clients{
		url: url, objective: objective, timeout: timeout,
		pools: map[string]*clientPool{}, totals: map[string]*Totals{},
		latency: hdrhistogram.New(1, maxLatencyMicros, latencyDigits),
	}
}

// Send runs the groups' load until the context ends, and then waits for the last answers.
func (c *Clients) Send(ctx context.Context, seed int64, groups ...ClientGroup) {
	var senders sync.WaitGroup
	for i, group := range groups {
		senders.Add(1)
		go func() {
			defer senders.Done()
			c.sendGroup(ctx, seed+int64(i), group)
		}()
	}
	senders.Wait()
	c.inFlight.Wait()
}

// sendGroup sends a group's requests, at random intervals, until the context ends.
func (c *Clients) sendGroup(ctx context.Context, seed int64, group ClientGroup) {
	random, pool := rand.New(rand.NewSource(seed)), c.pool(group)
	next := time.Now()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(random.ExpFloat64() / group.Rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		client := strconv.Itoa(n % clientsPerGroup)
		if group.UniqueClients {
			client = fmt.Sprint("fresh-", n)
		}
		isPost := random.Float64() < group.PostShare
		c.inFlight.Add(1)
		go func() {
			defer c.inFlight.Done()
			request := clientRequest{serial: c.serial.Add(1), tenant: group.Tenant, client: client, isPost: isPost}
			c.sendWithRetries(context.WithoutCancel(ctx), pool, request) // a request that has begun continues after the context ends
		}()
	}
}

// sendWithRetries sends a request. It retries after a rejection with a Retry-After header, up to maxClientRetries times.
func (c *Clients) sendWithRetries(ctx context.Context, pool *clientPool, request clientRequest) {
	c.count(request.tenant, func(t *Totals) { t.Offered++ })
	for attempt := 0; ; attempt++ {
		retryAfter, isRejected := c.send(ctx, pool, clientAttempt{request, attempt})
		if !isRejected {
			return
		}
		if retryAfter == nil || attempt == maxClientRetries {
			c.count(request.tenant, func(t *Totals) { t.Rejected++ })
			return
		}
		time.Sleep(*retryAfter)
		c.count(request.tenant, func(t *Totals) { t.Retries++ })
	}
}

// clientAttempt is one attempt of a request, numbered from 0.
type clientAttempt struct {
	clientRequest
	number int
}

// send makes an attempt with its own deadline. It counts a success or a failure. A rejection is returned, with the wait that its
// Retry-After header asks for, or nil if the header is missing or invalid.
func (c *Clients) send(ctx context.Context, pool *clientPool, attempt clientAttempt) (retryAfter *time.Duration, isRejected bool) {
	startedAt := time.Now()
	response, err := c.exchange(ctx, pool, attempt, startedAt)
	if err != nil {
		c.count(attempt.tenant, func(t *Totals) { t.Failed++ })
		return nil, false
	}
	switch response.status {
	case http.StatusOK:
		c.countSuccess(attempt.tenant, response.body, time.Since(startedAt))
		return nil, false
	case http.StatusServiceUnavailable:
		return parseRetryAfter(response.header), true
	default:
		c.count(attempt.tenant, func(t *Totals) { t.Failed++ })
		return nil, false
	}
}

// clientResponse is a response. The body is incomplete if reading it failed.
type clientResponse struct {
	status int
	header http.Header
	body   string
}

// exchange waits for a connection, sends a request on it and reads the response.
func (c *Clients) exchange(ctx context.Context, pool *clientPool, attempt clientAttempt, startedAt time.Time) (*clientResponse, error) {
	select {
	case pool.slots <- struct{}{}:
		defer func() { <-pool.slots }()
	case <-time.After(c.timeout):
		return nil, fmt.Errorf("%w within %v", errNoFreeConnection, c.timeout)
	}
	remaining := c.timeout - time.Since(startedAt)
	ctx, stop := context.WithTimeout(ctx, remaining+clientTimeoutMargin)
	defer stop()
	httpRequest, err := c.newHTTPRequest(ctx, attempt, remaining)
	if err != nil {
		return nil, err
	}
	response, err := pool.http.Do(httpRequest)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }() // it has been read
	body, _ := io.ReadAll(response.Body)         // the status decides even if the body is cut short
	return &clientResponse{status: response.StatusCode, header: response.Header, body: string(body)}, nil
}

func (c *Clients) newHTTPRequest(ctx context.Context, attempt clientAttempt, remaining time.Duration) (*http.Request, error) {
	method, path := http.MethodGet, "lookup"
	if attempt.isPost {
		method, path = http.MethodPost, "posting"
	}
	target := fmt.Sprintf("%s/%s?sid=%016x", c.url, path, attempt.serial)
	r, err := http.NewRequestWithContext(ctx, method, target, nil)
	if err != nil {
		return nil, err
	}
	if attempt.isPost {
		// Setting the body here leaves GetBody unset. Otherwise http.Client could read the body again and repeat the request.
		r.Body = io.NopCloser(strings.NewReader(postBody))
		r.ContentLength = int64(len(postBody))
		r.Header.Set("Idempotency-Key", fmt.Sprintf("%032x", attempt.serial))
	}
	r.Header.Set("X-Request-Id", fmt.Sprintf("%x-%d", attempt.serial, attempt.number))
	r.Header.Set("X-Tenant", attempt.tenant)
	r.Header.Set("X-Client", attempt.client)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	if attempt.number > 0 {
		r.Header.Set("X-Retry", "1")
	}
	return r, nil
}

// parseRetryAfter returns the wait that a response asks for, or nil if the header is missing or invalid.
func parseRetryAfter(header http.Header) *time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil {
		return nil
	}
	wait := time.Duration(seconds * float64(time.Second))
	return &wait
}

// countSuccess counts a successful response, whose body ends with the build that answered.
func (c *Clients) countSuccess(tenant, body string, latency time.Duration) {
	_, build, _ := strings.Cut(body, " ")
	c.count(tenant, func(t *Totals) {
		t.Succeeded++
		t.Builds[build]++
		if latency <= c.objective {
			t.InTime++
		}
		_ = c.latency.RecordValue(latency.Microseconds()) // fails for a latency above the histogram's limit, which does not matter for percentiles
	})
}

// count changes a tenant's totals under the lock.
func (c *Clients) count(tenant string, change func(*Totals)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	totals := c.totals[tenant]
	if totals == nil {
		totals = &Totals{Builds: map[string]int{}}
		c.totals[tenant] = totals
	}
	change(totals)
}

// Totals returns the outcomes of a tenant's requests so far.
func (c *Clients) Totals(tenant string) Totals {
	c.mu.Lock()
	defer c.mu.Unlock()
	totals := c.totals[tenant]
	if totals == nil {
		return Totals{Builds: map[string]int{}}
	}
	copied := *totals
	copied.Builds = maps.Clone(totals.Builds)
	return copied
}

// LatencyPercentile returns a percentile of the latencies of successful requests.
func (c *Clients) LatencyPercentile(percent float64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.latency.ValueAtQuantile(percent)) * time.Microsecond
}
