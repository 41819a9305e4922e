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
	*Terms
	Settings *Terms
	Known    json.RawMessage // the list as this agent last had it, in discovery's form
	News     json.RawMessage // where the newest build stands, in the launcher's form
	getenv   func(string) string
	places   Places
}

// Places are the addresses that a reload may change, as the file has them.
type Places struct{ Discovery, Launcher string }

// Reread reads the file again for an agent at work, and checks all of it as at a start. Moved holds the addresses that
// the file has changed, empty where it has not: a GW_DISCOVERY of the start can't change any more, so it goes before a
// file that says what it said then, and not before one that says otherwise. Left names the other keys that have
// changed, which need a restart. What is as it is in the old file stays in force with an error.
func (f *File) Reread() (next *File, moved Places, left []string, err error) {
	if next, err = Read(f.getenv); err != nil {
		return f, moved, nil, err
	}
	if err = next.Check(); err != nil {
		return f, moved, nil, err
	}
	if next.places.Discovery != f.places.Discovery {
		moved.Discovery = next.places.Discovery
	}
	if next.places.Launcher != f.places.Launcher {
		moved.Launcher = next.places.Launcher
	}
	apart := func(a, b *Terms) {
		for k, v := range a.pairs {
			mine := k == "discovery" || k == "seed" || strings.HasPrefix(k, "platform.") || strings.HasPrefix(k, "known.") ||
				strings.HasPrefix(k, "settings.") // read apart; the others are of the moment
			if other, is := b.pairs[k]; !mine && (!is || other != v) && !slices.Contains(left, a.under+k) {
				left = append(left, a.under+k)
			}
		}
	}
	apart(f.Terms, next.Terms)
	apart(next.Terms, f.Terms)
	apart(f.Settings, next.Settings)
	apart(next.Settings, f.Settings)
	slices.Sort(left)
	return next, moved, left, nil
}

// Check reads all that a start reads.
func (f *File) Check() error {
	f.Post()
	f.Ration()
	f.Circle()
	seed := f.Seed()
	f.Settings.Goods()
	f.Settings.Customers()
	f.Settings.Shares()
	f.Settings.Stalls()
	f.Settings.Lines()
	if f.Err() != nil {
		return f.Err()
	}
	_, err := f.Settings.Open(seed)
	return err
}

// Post is where the agent stands.
type Post struct{ Name, Listen, Discovery, Launcher string }

// Ration is what the agent may use.
type Ration struct {
	Cores             float64
	MemoryMB, Sockets int
}

// Circle is how agents reach each other; no Listen where they may not.
type Circle struct {
	Listen, All string
	Peers       []string
}

// Good is a product as clients name it.
type Good struct {
	Name   string
	Effect policy.Idempotency
	Expiry time.Duration
}

// Lines are the figures of connections to appliances and the launcher.
type Lines struct {
	Dial, Idle, Call time.Duration
	AskWithin        time.Duration // where the list must be asked, in this time; 0: it comes by itself
	OpenCap          int           // txns that the agent may have open
	HoldOff          time.Duration // the longest wait that clients follow; 0 where they are told none
	Probes           bool
	Report           []string // the fields of a load report, none where there are none
}

// Read opens the file that GW_CONFIG names.
func Read(getenv func(string) string) (*File, error) {
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
	f := &File{getenv: getenv, Known: parts.Known, News: parts.Platform.News}
	if f.Terms, err = nested("config", raw); err != nil {
		return nil, err
	}
	if len(parts.Settings) == 0 {
		return nil, fmt.Errorf("setting config.settings is missing")
	}
	if f.Settings, err = nested("config.settings", parts.Settings); err != nil {
		return nil, err
	}
	f.places = Places{f.address("discovery", f.pairs["discovery"]), f.address("platform.address", f.str("platform.address"))}
	if err = f.Err(); err != nil {
		return nil, err
	}
	return f, nil
}

// either is a variable, or else the key of the file.
func (f *File) either(variable, key string) string {
	if v := f.getenv(variable); v != "" {
		return v
	}
	return f.str(key)
}

func (f *File) address(key, v string) string {
	if _, port, err := net.SplitHostPort(v); f.err == nil && (err != nil || port == "") {
		f.fail(key, fmt.Sprintf("is %q, not host:port", v))
	}
	return v
}

func (f *File) Post() Post {
	return Post{Name: f.either("GW_NAME", "name"), Listen: f.address("listen", f.either("GW_LISTEN", "listen")),
		Discovery: f.address("discovery", f.either("GW_DISCOVERY", "discovery")),
		Launcher:  f.address("platform.address", f.str("platform.address"))}
}

// Ration's defaults are what every machine of this platform has at least.
func (f *File) Ration() Ration {
	r := Ration{f.opt("limits.cores", 1), int(f.opt("limits.memory_mb", 192)), int(f.opt("limits.sockets", 1024))}
	if r.Cores <= 0 {
		f.fail("limits.cores", fmt.Sprintf("is %v", r.Cores))
	}
	if r.MemoryMB < 32 {
		f.fail("limits.memory_mb", fmt.Sprintf("is %d; an agent needs 32", r.MemoryMB))
	}
	if r.Sockets < 64 {
		f.fail("limits.sockets", fmt.Sprintf("is %d; an agent needs 64", r.Sockets))
	}
	return r
}

func (f *File) Circle() Circle {
	if !f.Settings.flag("Limits.MayTell") || !f.has("peer_listen") {
		return Circle{}
	}
	c := Circle{Listen: f.address("peer_listen", f.str("peer_listen")), Peers: f.words("peers")}
	for i, p := range c.Peers {
		f.address(fmt.Sprintf("peers.%d", i), p)
	}
	if f.has("peers_all") {
		c.All = f.address("peers_all", f.str("peers_all"))
	}
	return c
}

// Seed starts the module's chance: 16 hexadecimal digits.
func (f *File) Seed() uint64 {
	s := f.str("seed")
	v, err := strconv.ParseUint(s, 16, 64)
	if err != nil && f.err == nil {
		f.fail("seed", fmt.Sprintf("is %q, not a hexadecimal number", s))
	}
	return v
}

// Goods are the products in the order that the module numbers them.
func (t *Terms) Goods() []Good {
	out := make([]Good, t.count("Grades.count"))
	seen := map[string]int{}
	for i := range out {
		g := &out[i]
		*g = Good{t.str(grade(i, "Name")), t.effect(i), time.Duration(t.ms(grade(i, "HardLimitMs"))) * time.Microsecond}
		switch other, twice := seen[g.Name]; {
		case g.Name == "":
			t.fail(grade(i, "Name"), "is empty; requests name their class by it")
		case twice:
			t.fail(grade(i, "Name"), fmt.Sprintf("is %q, like that of class %d; requests name their class by it", g.Name, other))
		case g.Expiry <= 0:
			t.fail(grade(i, "HardLimitMs"), "is 0; no answer could come in time")
		}
		seen[g.Name] = i
	}
	return out
}

// Customers and Zones are names in the order of their numbers.
func (t *Terms) Customers() (out []string) {
	for i := 0; i < int(t.opt("Parties.count", 0)); i++ {
		out = append(out, t.str(fmt.Sprintf("Parties.%d.Name", i)))
	}
	return out
}

// Shares are the customers' told parts of the whole; an even part where none is told.
func (t *Terms) Shares() []float64 {
	out := make([]float64, int(t.opt("Parties.count", 0)))
	for i := range out {
		if out[i] = t.opt(fmt.Sprintf("Parties.%d.Fraction", i), 1/float64(len(out))); out[i] <= 0 {
			t.fail(fmt.Sprintf("Parties.%d.Fraction", i), fmt.Sprintf("is %v, no share", out[i]))
		}
	}
	return out
}

// Stall is what the door knows of a product.
type Stall struct {
	SLA     time.Duration
	Revenue float64
}

// Stalls are in the order of Goods.
func (t *Terms) Stalls() []Stall {
	out := make([]Stall, t.count("Grades.count"))
	for i := range out {
		out[i] = Stall{time.Duration(t.ms(grade(i, "SloMs"))) * time.Microsecond, t.num(grade(i, "Worth"))}
	}
	return out
}

// A deployment that names no zone has one, and whatever site the list tells is in it.
func (t *Terms) Zones() []string {
	zones := t.words("Localities")
	if own := t.count("Zone"); len(zones) > 0 && own >= len(zones) {
		t.fail("Zone", fmt.Sprintf("is %d, the own zone's number from 0 on, but %sLocalities has %d", own, t.under, len(zones)))
	}
	return zones
}

func (t *Terms) Lines() Lines {
	span := func(key string) time.Duration {
		us := t.ms(key)
		if us == 0 {
			t.fail(key, "is 0, no time at all")
		}
		return time.Duration(us) * time.Microsecond
	}
	l := Lines{Dial: span("Limits.DialTimeoutMs"), Idle: span("Limits.ConnIdleMs"),
		Call: span("FamilyInfo.CallTimeoutMs"), OpenCap: 20000, Probes: t.flag("Limits.Probes")}
	if t.flag("Limits.RetryAfter") {
		l.HoldOff = time.Duration(t.ms("Limits.MaxRetryAfterMs")) * time.Microsecond
	}
	if t.has("Safety.AskWithinMs") && t.pairs["Discovery"] == "subscribe" {
		l.AskWithin = time.Duration(t.ms("Safety.AskWithinMs")) * time.Microsecond
	}
	if t.has("Limits.OpenCap") {
		l.OpenCap = t.count("Limits.OpenCap")
	}
	if how := t.pairs["Feedback.How"]; how != "" && how != "off" {
		l.Report = t.words("Feedback.Fields")
	}
	return l
}
