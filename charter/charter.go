package charter

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"switchfork/brain"
)

// File is what a real agent is told: the JSON that GW_CONFIG names, and the GW_* variables, which go before it.
type File struct {
	*Terms
	Settings *Terms
	Known    json.RawMessage // the list as this agent last had it, in discovery's form
	News     json.RawMessage // where the newest build stands, in the launcher's form
	getenv   func(string) string
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
	Effect brain.Effect
	Expiry time.Duration
}

// Lines are the figures of connections to appliances and the launcher.
type Lines struct {
	Dial, Idle, Call time.Duration
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
	for i := range out {
		out[i] = Good{t.str(grade(i, "Name")), t.effect(i), time.Duration(t.ms(grade(i, "HardLimitMs"))) * time.Microsecond}
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

func (t *Terms) Zones() []string {
	zones := t.words("Localities")
	if len(zones) == 0 {
		t.fail("Localities", "names no zone")
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
	if t.has("Limits.OpenCap") {
		l.OpenCap = t.count("Limits.OpenCap")
	}
	if how := t.pairs["Feedback.How"]; how != "" && how != "off" {
		l.Report = t.words("Feedback.Fields")
	}
	return l
}
