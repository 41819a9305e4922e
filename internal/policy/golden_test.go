package policy

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"switchfork/internal/golden"
)

// goldenDeployment is one set of settings that a random stream of events is played against.
type goldenDeployment struct {
	name     string
	products []Product
	station  Station
	plan     LaunchPlan
	polling  Polling
	count    Exposure
	may      Licence
}

func goldenDeployments() []goldenDeployment {
	inquiry := Product{Effect: InquiryLike, SLA: 100 * ms, Expiry: 400 * ms, Revenue: 1}
	keyed := Product{Effect: Referenced, Memory: 500 * ms, SLA: 200 * ms, Expiry: 900 * ms, Revenue: 5, LateShare: 0.3}
	zoned := Product{Effect: Referenced, Group: ScopeZone, Memory: 300 * ms, SLA: 150 * ms, Expiry: 700 * ms, Revenue: 3}
	once := Product{Effect: OnceOnly, SLA: 300 * ms, Expiry: 1200 * ms, Revenue: 9}
	cell := Product{Effect: Referenced, Group: ScopeCell, Memory: 800 * ms, SLA: 250 * ms, Expiry: 1000 * ms, Revenue: 2}
	caps := []float64{0.05, 0.3, 1}
	all := []Product{inquiry, keyed, zoned, once, cell}
	votes := Polling{Ballot: BallotAny, Stands: 4 * second, Patience: 800 * ms, CallsPerS: 20, ToGo: 1, ToGoBack: 1}
	share, timer := votes, votes
	share.Ballot, share.ToGo, share.ToGoBack, share.Tally = BallotShare, 4, 3, 1*second
	timer.Ballot = BallotTimer
	window := Exposure{Window: 4 * second, Free: 3}
	byProduct := Exposure{Window: 2 * second, Free: 1, ByProduct: true}
	return []goldenDeployment{
		{"alone", all, Station{Agents: 1, Sized: true}, LaunchPlan{Caps: caps, Guarded: 1}, votes, window, Licence{Probe: true}},
		{"three", all, Station{Me: 1, Agents: 3, Zone: 1, WarmKeys: true, Sized: true}, LaunchPlan{Caps: caps, OneWay: true}, votes, byProduct, Licence{Tell: true}},
		{"evaluator", all, Station{Agents: 40, WarmKeys: true, Report: Report{Busy: 1, Rate: 2, Held: 3}}, LaunchPlan{Caps: caps, Guarded: 2, InPlace: true}, votes, window, Licence{Probe: true, Tell: true, Ask: true}},
		{"observer", all, Station{Agents: 40, Report: Report{Busy: 1, Rate: 2, Held: 3}}, LaunchPlan{Caps: caps, OneWay: true}, votes, window, Licence{Probe: true, Tell: true}},
		{"counted", all, Station{Me: 7, Agents: 60, Sized: true}, LaunchPlan{Caps: caps}, share, window, Licence{Ask: true}},
		{"timed", []Product{inquiry, keyed}, Station{Me: 2, Agents: 5, Sized: true}, LaunchPlan{Caps: caps}, timer, window, Licence{Tell: true, Probe: true}},
		{"large", []Product{inquiry, once}, Station{Me: 2, Agents: 12, Sized: true}, LaunchPlan{Caps: []float64{0.2, 1}}, votes, window, Licence{Probe: true}},
	}
}

// goldenStream makes the random events that fit what the router has ordered so far.
type goldenStream struct {
	chance   *rand.Rand
	d        goldenDeployment
	r        Router
	digest   *golden.Digest
	now      Micros
	nextID   uint64
	open     []Submit
	probes   []Probe
	wakes    []Micros
	rows     map[uint32]Row
	ids      []uint32
	build    int
	stage    int
	many     int
	orders   int
	products map[uint64]int
}

func (s *goldenStream) give(ev Event) {
	for _, o := range s.r.Handle(s.now, ev) {
		s.orders++
		s.digest.Add(o)
		switch o := o.(type) {
		case Submit:
			s.open = append(s.open, o)
		case Probe:
			s.probes = append(s.probes, o)
		case Wake:
			s.wakes = append(s.wakes, o.At)
		}
	}
}

func (s *goldenStream) row(id uint32) Row {
	row := Row{ID: id, Build: 1, Zone: int(id) % 3, State: Ready, Cell: int(id) % 5, Weight: 0.5 + float64(id%4)/2}
	if s.chance.Intn(3) == 0 {
		row.Build = s.build
	}
	if s.chance.Intn(4) == 0 {
		row.Started = s.now - Micros(s.chance.Int63n(int64(4*second)))
	}
	if s.chance.Intn(12) == 0 {
		row.State = []State{Draining, Gone}[s.chance.Intn(2)]
	}
	return row
}

func (s *goldenStream) list(full bool) {
	l := Listed{Full: full}
	for _, id := range s.ids {
		if full || s.chance.Intn(len(s.ids)) == 0 {
			s.rows[id] = s.row(id)
			l.Rows = append(l.Rows, s.rows[id])
		}
	}
	s.give(l)
}

func (s *goldenStream) bells() {
	for len(s.wakes) > 0 {
		least := 0
		for i, at := range s.wakes {
			if at < s.wakes[least] {
				least = i
			}
		}
		at := s.wakes[least]
		if at > s.now {
			return
		}
		s.wakes = append(s.wakes[:least], s.wakes[least+1:]...)
		s.give(Bell{})
	}
}

func (s *goldenStream) load() []float32 {
	if s.chance.Intn(3) == 0 {
		return nil
	}
	return []float32{s.chance.Float32(), s.chance.Float32() * 100, float32(s.chance.Intn(9))}
}

func (s *goldenStream) sheet() []byte {
	if s.chance.Intn(8) == 0 {
		raw := make([]byte, []int{digestBytes, 7, 25}[s.chance.Intn(3)])
		s.chance.Read(raw)
		return raw
	}
	var raw []byte
	for range 1 + s.chance.Intn(12) {
		row := s.rows[s.ids[s.chance.Intn(len(s.ids))]]
		n := told{Ended: Ended{Appliance: row.ID, Outcome: Outcome(s.chance.Intn(9)), Took: Micros(s.chance.Int63n(int64(400 * ms)))},
			by: &appliance{Row: row}, product: s.chance.Intn(len(s.d.products)), held: float64(s.chance.Intn(6)) - 1}
		switch s.chance.Intn(10) {
		case 0:
			n.Outcome = turnedLine
		case 1:
			n.Outcome = wentLine
		case 2:
			raw = append(raw, (&judge{wave: wave{build: s.build, stage: s.stage}}).wordFor(Verdict(s.chance.Intn(4)))...)
			raw = append(raw, make([]byte, (lineBytes-len(raw)%lineBytes)%lineBytes)...)
			continue
		}
		raw = putLine(raw, n)
	}
	return raw
}

func (s *goldenStream) outcome() Outcome {
	if s.chance.Intn(4) > 0 {
		return OK
	}
	return Outcome(s.chance.Intn(9))
}

func (s *goldenStream) event() {
	switch n := s.chance.Intn(100); {
	case n < 42:
		s.nextID++
		product := s.chance.Intn(len(s.d.products))
		p := s.d.products[product]
		t := Taken{ID: s.nextID, Product: product, Customer: s.chance.Intn(4), Expires: s.now + p.Expiry, Repeat: s.chance.Intn(6) == 0}
		if s.chance.Intn(2) == 0 {
			t.Key = uint64(1 + s.chance.Intn(50))
		}
		if s.chance.Intn(3) == 0 {
			t.Work = Micros(s.chance.Int63n(int64(60 * ms)))
		}
		if s.chance.Intn(5) == 0 {
			t.Came = s.now - Micros(s.chance.Int63n(int64(50*ms)))
		}
		s.products[t.ID] = product
		s.give(t)
	case n < 82:
		if len(s.open) == 0 {
			return
		}
		i := s.chance.Intn(len(s.open))
		o := s.open[i]
		s.open = append(s.open[:i], s.open[i+1:]...)
		how := s.outcome()
		if s.rows[o.Appliance].Build == s.build && s.chance.Intn(4) == 0 {
			how = Errored
		}
		s.give(Ended{ID: o.ID, Appliance: o.Appliance, Outcome: how, Took: Micros(s.chance.Int63n(int64(150 * ms))), Over: how == OK, Load: s.load()})
	case n < 84:
		if s.nextID > 0 {
			s.give(Abandoned{ID: 1 + uint64(s.chance.Int63n(int64(s.nextID)))})
		}
	case n < 86:
		s.list(s.chance.Intn(6) == 0)
	case n < 88:
		if len(s.probes) > 0 {
			p := s.probes[0]
			s.probes = s.probes[1:]
			s.give(Probed{Appliance: p.Appliance, Outcome: s.outcome(), Took: ms, Load: s.load()})
		}
	case n < 93:
		s.give(Heard{From: s.chance.Intn(s.d.station.Agents), Text: s.sheet()})
	case n < 94:
		if s.chance.Intn(3) == 0 {
			s.stage = s.chance.Intn(len(s.d.plan.Caps))
			if s.chance.Intn(5) == 0 {
				s.build++
			}
		}
		st := Staged{Build: s.build, Stage: s.stage, Cap: s.d.plan.Caps[s.stage], Age: Micros(s.chance.Int63n(int64(second)))}
		if s.chance.Intn(6) == 0 {
			st.Phase = Phase(s.chance.Intn(4))
		}
		if s.chance.Intn(5) == 0 {
			st.Answer, st.Outcome = true, Outcome(s.chance.Intn(5))
		}
		s.give(st)
	case n < 96:
		many := 1 + s.chance.Intn(200)
		s.give(Tallied{Build: s.build - s.chance.Intn(2), Product: s.chance.Intn(len(s.d.products)), Many: many, Lost: s.chance.Intn(many), Took: Micros(s.chance.Int63n(int64(200 * ms)))})
	case n < 97:
		s.give(Flagged{Appliance: s.ids[s.chance.Intn(len(s.ids))]})
	case n < 98:
		s.give(Listed{Failed: true})
	default:
		s.now += Micros(s.chance.Int63n(int64(200 * ms)))
	}
}

// goldenEvents of a stream: enough for releases to begin, be voted on and go back several times.
const goldenEvents = 12000

// The same events give the same orders as ever: the file's sums were made before names and shape of this package changed.
func TestGoldenDecisions(t *testing.T) {
	var out strings.Builder
	for _, d := range goldenDeployments() {
		for seed := int64(1); seed <= 3; seed++ {
			station := d.station
			station.Seed = seed
			if d.name == "evaluator" {
				station.Me = lot(station.Agents, seats, ringSalt)[0]
			} else if d.name == "observer" {
				station.Me = lot(station.Agents, station.Agents, ringSalt)[seats]
			}
			s := &goldenStream{chance: rand.New(rand.NewSource(seed)), d: d, now: 1000 * second, build: 2, rows: map[uint32]Row{}, products: map[uint64]int{},
				digest: golden.NewDigest(Submit{}, CallOff{}, Decline{}, Void{}, Wake{}, Probe{}, Tell{}, Watch{}, Vote{}, Say{})}
			appliances := 9
			if d.name == "large" {
				appliances = 60
			}
			for id := range appliances {
				s.ids = append(s.ids, uint32(101+id*7))
			}
			s.r = New(station, d.products, d.plan, d.polling, d.count, ColdStart{From: 0.3, Warm: 3 * second, Multiple: 2, After: 500 * ms},
				Handover{MaxSubmissions: 3, MaxHoldOff: 2 * second}, d.may, Fares{CrossZone: 0.05})
			s.list(true)
			s.give(Staged{Build: 2, Cap: d.plan.Caps[0]})
			for range goldenEvents {
				s.now += Micros(s.chance.Int63n(int64(6 * ms)))
				s.bells()
				s.event()
			}
			fmt.Fprintf(&out, "%s seed %d: %d orders %s\n", d.name, seed, s.orders, s.digest)
		}
	}
	golden.Check(t, "decisions.golden", out.String())
}

// What agents write to each other stays as it was, byte by byte.
func TestGoldenSheets(t *testing.T) {
	var out strings.Builder
	for i, n := range []told{
		{Ended: Ended{Appliance: 0xa1b2c3d4, Outcome: OK, Took: 123456}, by: &appliance{Row: Row{Build: 7}}, product: 2, held: 3},
		{Ended: Ended{Appliance: 5, Outcome: Spoilt, Took: 99 * second}, by: &appliance{Row: Row{Build: 258}}, product: 0, held: -1},
		{Ended: Ended{Outcome: turnedLine}, by: &appliance{}},
		{Ended: Ended{Appliance: 77, Outcome: wentLine}, by: &appliance{Row: Row{ID: 77}}},
	} {
		fmt.Fprintf(&out, "line %d: %x\n", i, putLine(nil, n))
	}
	j := &judge{wave: wave{build: 300, stage: 4}}
	for v := NoVote; v <= Back; v++ {
		fmt.Fprintf(&out, "word %d: %x\n", v, j.wordFor(v))
	}
	for _, id := range []uint32{0, 1, 77, 0xffffffff} {
		at, bit := spotOf(id)
		fmt.Fprintf(&out, "digest bit of %d: byte %d, %08b of %d\n", id, at, bit, digestBytes)
	}
	golden.Check(t, "sheets.golden", out.String())
}
