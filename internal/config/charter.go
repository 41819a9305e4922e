package config

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"switchfork/internal/policy"
)

// File is what a real agent is told: the JSON that GW_CONFIG names, and the GW_* variables, which go before it.
type File struct {
	*Settings
	Deployment *Settings
	Endpoints  json.RawMessage // the list as this agent last had it, in discovery's form
	Rollout    json.RawMessage // where the newest build stands, in the launcher's form
	getenv     func(string) string
	addresses  UpstreamAddresses
}

// UpstreamAddresses are the addresses that a reload may change, as the file has them.
type UpstreamAddresses struct{ Discovery, Rollout string }

// Reload reads the file again for an agent at work, and checks all of it as at a start. Moved holds the addresses that
// the file has changed, empty where it has not: a GW_DISCOVERY of the start can't change any more, so it goes before a
// file that says what it said then, and not before one that says otherwise. Left names the other keys that have
// changed, which need a restart. What is as it is in the old file stays in force with an error.
func (f *File) Reload() (next *File, moved UpstreamAddresses, left []string, err error) {
	if next, err = Load(f.getenv); err != nil {
		return f, moved, nil, err
	}
	if err = next.Validate(); err != nil {
		return f, moved, nil, err
	}
	if next.addresses.Discovery != f.addresses.Discovery {
		moved.Discovery = next.addresses.Discovery
	}
	if next.addresses.Rollout != f.addresses.Rollout {
		moved.Rollout = next.addresses.Rollout
	}
	apart := func(a, b *Settings) {
		for k, v := range a.values {
			mine := k == "discovery" || k == "seed" || strings.HasPrefix(k, "platform.") || strings.HasPrefix(k, "known.") ||
				strings.HasPrefix(k, "settings.") // read apart; the others are of the moment
			if other, is := b.values[k]; !mine && (!is || other != v) && !slices.Contains(left, a.prefix+k) {
				left = append(left, a.prefix+k)
			}
		}
	}
	apart(f.Settings, next.Settings)
	apart(next.Settings, f.Settings)
	apart(f.Deployment, next.Deployment)
	apart(next.Deployment, f.Deployment)
	slices.Sort(left)
	return next, moved, left, nil
}

// Validate reads all that a start reads.
func (f *File) Validate() error {
	f.Identity()
	f.ResourceLimits()
	f.Peers()
	seed := f.Seed()
	f.Deployment.RequestClasses()
	f.Deployment.Tenants()
	f.Deployment.TenantShares()
	f.Deployment.ClassPriorities()
	f.Deployment.Connections()
	if f.Err() != nil {
		return f.Err()
	}
	_, err := f.Deployment.NewRouter(seed)
	return err
}

// Identity is where the agent stands.
type Identity struct{ Name, Listen, Discovery, Rollout string }

// ResourceLimits is what the agent may use.
type ResourceLimits struct {
	Cores             float64
	MemoryMB, Sockets int
}

// Peers is how agents reach each other; no Listen where they may not.
type Peers struct {
	Listen, Broadcast string
	Addresses         []string
}

// RequestClass is a product as clients name it.
type RequestClass struct {
	Name        string
	Idempotency policy.Idempotency
	Timeout     time.Duration
}

// Connections are the figures of connections to appliances and the launcher.
type Connections struct {
	DialTimeout, IdleTimeout, CallTimeout time.Duration
	PollWithin                            time.Duration // where the list must be asked, in this time; 0: it comes by itself
	MaxOpenRequests                       int           // txns that the agent may have open
	MaxRetryAfter                         time.Duration // the longest wait that clients follow; 0 where they are told none
	HealthChecks                          bool
	LoadReportFields                      []string // the fields of a load report, none where there are none
}

// Load opens the file that GW_CONFIG names.
func Load(getenv func(string) string) (*File, error) {
	path := getenv("GW_CONFIG")
	if path == "" {
		return nil, fmt.Errorf("GW_CONFIG is not set")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %w", err)
	}
	var parts struct {
		Known    json.RawMessage `json:"known"`
		Settings json.RawMessage `json:"settings"`
		Platform struct {
			News json.RawMessage `json:"news"`
		} `json:"platform"`
	}
	if err = json.Unmarshal(raw, &parts); err != nil {
		return nil, fmt.Errorf("GW_CONFIG %s: %w", path, err)
	}
	f := &File{getenv: getenv, Endpoints: parts.Known, Rollout: parts.Platform.News}
	if f.Settings, err = parseJSON("config", raw); err != nil {
		return nil, err
	}
	if len(parts.Settings) == 0 {
		return nil, fmt.Errorf("setting config.settings is missing")
	}
	if f.Deployment, err = parseJSON("config.settings", parts.Settings); err != nil {
		return nil, err
	}
	f.addresses = UpstreamAddresses{f.address("discovery", f.values["discovery"]), f.address("platform.address", f.text("platform.address"))}
	if err = f.Err(); err != nil {
		return nil, err
	}
	return f, nil
}

// environmentOr is a variable, or else the key of the file.
func (f *File) environmentOr(variable, key string) string {
	if v := f.getenv(variable); v != "" {
		return v
	}
	return f.text(key)
}

func (f *File) address(key, v string) string {
	if _, port, err := net.SplitHostPort(v); f.err == nil && (err != nil || port == "") {
		f.recordError(key, fmt.Sprintf("is %q, not host:port", v))
	}
	return v
}

func (f *File) Identity() Identity {
	return Identity{
		Name: f.environmentOr("GW_NAME", "name"), Listen: f.address("listen", f.environmentOr("GW_LISTEN", "listen")),
		Discovery: f.address("discovery", f.environmentOr("GW_DISCOVERY", "discovery")),
		Rollout:   f.address("platform.address", f.text("platform.address")),
	}
}

// ResourceLimits's defaults are what every machine of this platform has at least.
func (f *File) ResourceLimits() ResourceLimits {
	r := ResourceLimits{f.floatOrDefault("limits.cores", 1), int(f.floatOrDefault("limits.memory_mb", 192)), int(f.floatOrDefault("limits.sockets", 1024))}
	if r.Cores <= 0 {
		f.recordError("limits.cores", fmt.Sprintf("is %v", r.Cores))
	}
	if r.MemoryMB < 32 {
		f.recordError("limits.memory_mb", fmt.Sprintf("is %d; an agent needs 32", r.MemoryMB))
	}
	if r.Sockets < 64 {
		f.recordError("limits.sockets", fmt.Sprintf("is %d; an agent needs 64", r.Sockets))
	}
	return r
}

func (f *File) Peers() Peers {
	if !f.Deployment.boolean("Limits.MayTell") || !f.isSet("peer_listen") {
		return Peers{}
	}
	c := Peers{Listen: f.address("peer_listen", f.text("peer_listen")), Addresses: f.textList("peers")}
	for i, p := range c.Addresses {
		f.address(fmt.Sprintf("peers.%d", i), p)
	}
	if f.isSet("peers_all") {
		c.Broadcast = f.address("peers_all", f.text("peers_all"))
	}
	return c
}

// Seed starts the module's chance: 16 hexadecimal digits.
func (f *File) Seed() uint64 {
	s := f.text("seed")
	v, err := strconv.ParseUint(s, 16, 64)
	if err != nil && f.err == nil {
		f.recordError("seed", fmt.Sprintf("is %q, not a hexadecimal number", s))
	}
	return v
}

// RequestClasses are the products in the order that the module numbers them.
func (t *Settings) RequestClasses() []RequestClass {
	out := make([]RequestClass, t.integer("Grades.count"))
	seen := map[string]int{}
	for i := range out {
		g := &out[i]
		*g = RequestClass{t.text(classKey(i, "Name")), t.idempotency(i), time.Duration(t.micros(classKey(i, "HardLimitMs"))) * time.Microsecond}
		switch other, twice := seen[g.Name]; {
		case g.Name == "":
			t.recordError(classKey(i, "Name"), "is empty; requests name their class by it")
		case twice:
			t.recordError(classKey(i, "Name"), fmt.Sprintf("is %q, like that of class %d; requests name their class by it", g.Name, other))
		case g.Timeout <= 0:
			t.recordError(classKey(i, "HardLimitMs"), "is 0; no answer could come in time")
		}
		seen[g.Name] = i
	}
	return out
}

// Tenants and Zones are names in the order of their numbers.
func (t *Settings) Tenants() (out []string) {
	for i := 0; i < int(t.floatOrDefault("Parties.count", 0)); i++ {
		out = append(out, t.text(fmt.Sprintf("Parties.%d.Name", i)))
	}
	return out
}

// TenantShares are the customers' told parts of the whole; an even part where none is told.
func (t *Settings) TenantShares() []float64 {
	out := make([]float64, int(t.floatOrDefault("Parties.count", 0)))
	for i := range out {
		if out[i] = t.floatOrDefault(fmt.Sprintf("Parties.%d.Fraction", i), 1/float64(len(out))); out[i] <= 0 {
			t.recordError(fmt.Sprintf("Parties.%d.Fraction", i), fmt.Sprintf("is %v, no share", out[i]))
		}
	}
	return out
}

// ClassPriority is what the door knows of a product.
type ClassPriority struct {
	LatencyObjective time.Duration
	PriorityWeight   float64
}

// ClassPriorities are in the order of Goods.
func (t *Settings) ClassPriorities() []ClassPriority {
	out := make([]ClassPriority, t.integer("Grades.count"))
	for i := range out {
		out[i] = ClassPriority{time.Duration(t.micros(classKey(i, "SloMs"))) * time.Microsecond, t.float(classKey(i, "Worth"))}
	}
	return out
}

// A deployment that names no zone has one, and whatever site the list tells is in it.
func (t *Settings) Zones() []string {
	zones := t.textList("Localities")
	if own := t.integer("Zone"); len(zones) > 0 && own >= len(zones) {
		t.recordError("Zone", fmt.Sprintf("is %d, the own zone's number from 0 on, but %sLocalities has %d", own, t.prefix, len(zones)))
	}
	return zones
}

func (t *Settings) Connections() Connections {
	span := func(key string) time.Duration {
		us := t.micros(key)
		if us == 0 {
			t.recordError(key, "is 0, no time at all")
		}
		return time.Duration(us) * time.Microsecond
	}
	l := Connections{
		DialTimeout: span("Limits.DialTimeoutMs"), IdleTimeout: span("Limits.ConnIdleMs"),
		CallTimeout: span("FamilyInfo.CallTimeoutMs"), MaxOpenRequests: 20000, HealthChecks: t.boolean("Limits.Probes"),
	}
	if t.boolean("Limits.RetryAfter") {
		l.MaxRetryAfter = time.Duration(t.micros("Limits.MaxRetryAfterMs")) * time.Microsecond
	}
	if t.isSet("Safety.AskWithinMs") && t.values["Discovery"] == "subscribe" {
		l.PollWithin = time.Duration(t.micros("Safety.AskWithinMs")) * time.Microsecond
	}
	if t.isSet("Limits.OpenCap") {
		l.MaxOpenRequests = t.integer("Limits.OpenCap")
	}
	if how := t.values["Feedback.How"]; how != "" && how != "off" {
		l.LoadReportFields = t.textList("Feedback.Fields")
	}
	return l
}
