package faulttest

import (
	"strings"

	"switchfork/internal/faulttest/netfault"
)

const (
	// maxByteCount bounds a rate in bytes a second, and the bytes until a reset.
	maxByteCount = 1 << 30
	// maxReorderShare: of two datagrams at most one is overtaken.
	maxReorderShare = 0.5
)

// faultParser reads the steps that put a fault on a link.
type faultParser struct{ *setReader }

// faultParsers read what stands between the keyword of a fault and its link.
var faultParsers = map[string]func(p *faultParser, f *faultStep){
	"drop":      (*faultParser).drop,
	"blackhole": (*faultParser).blackhole,
	"refuse":    (*faultParser).refuse,
	"loss":      (*faultParser).loss,
	"delay":     (*faultParser).delay,
	"bandwidth": (*faultParser).bandwidth,
	"reset":     (*faultParser).reset,
	"duplicate": (*faultParser).duplicate,
	"reorder":   (*faultParser).reorder,
}

// fault reads a fault and its link; false: the keyword is none of a fault.
func (p *faultParser) fault(keyword string) (f faultStep, isFault bool) {
	parse, isFault := faultParsers[keyword]
	if !isFault {
		return f, false
	}
	parse(p, &f)
	p.link(&f)
	return f, true
}

// heal reads the links that a fault is taken from.
func (p *faultParser) heal() faultStep {
	f := faultStep{isHeal: true}
	if !p.accept("all") {
		p.link(&f)
	}
	return f
}

func (p *faultParser) drop(f *faultStep) {
	f.apply = func(f *netfault.Fault) { f.Drop = true }
}

func (p *faultParser) blackhole(f *faultStep) {
	f.streamsOnly = true
	f.apply = func(f *netfault.Fault) { f.Blackhole = true }
}

func (p *faultParser) refuse(f *faultStep) {
	f.streamsOnly = true
	f.apply = func(f *netfault.Fault) { f.Refuse = true }
}

func (p *faultParser) loss(f *faultStep) {
	share := p.share()
	f.apply = func(f *netfault.Fault) { f.LossRate = share }
}

func (p *faultParser) delay(f *faultStep) {
	mean, spread, hasSpread := strings.Cut(p.nextToken("a delay such as 300ms or 300ms~50ms"), "~")
	delay, jitter := toMicros(p.duration(mean, "the delay")), netfault.Micros(0)
	if hasSpread {
		jitter = toMicros(p.duration(spread, "the spread"))
		if jitter > delay {
			p.fail("the spread is over the delay, expected at most %v", mean)
		}
	}
	f.apply = func(f *netfault.Fault) { f.Delay, f.Jitter = delay, jitter }
}

func (p *faultParser) bandwidth(f *faultStep) {
	rate := p.integer(p.nextToken("bytes a second"), "the rate", 1, maxByteCount)
	f.apply = func(f *netfault.Fault) { f.BytesPerSecond = rate }
}

func (p *faultParser) reset(f *faultStep) {
	bytes := p.integer(p.nextToken("bytes until the reset"), "the bytes", 1, maxByteCount)
	f.streamsOnly = true
	f.apply = func(f *netfault.Fault) { f.ResetAfterBytes = bytes }
}

func (p *faultParser) duplicate(f *faultStep) {
	share := p.share()
	f.datagramsOnly = true
	f.apply = func(f *netfault.Fault) { f.DuplicateRate = share }
}

func (p *faultParser) reorder(f *faultStep) {
	share := p.number(p.nextToken("a share from 0 to 0.5"), "the share", 0, maxReorderShare)
	f.datagramsOnly = true
	f.apply = func(f *netfault.Fault) { f.ReorderRate = share }
}

// link reads A -> B or A <-> B, and tcp or datagrams.
func (p *faultParser) link(f *faultStep) {
	f.from = p.party()
	switch token := p.nextToken("-> or <->"); token {
	case "->":
	case "<->":
		f.bidirectional = true
	default:
		p.fail("%q stands between the ends of a link, expected -> or <->", token)
	}
	f.to = p.party()
	for _, transport := range []string{transportTCP, transportDatagrams} {
		if p.accept(transport) {
			f.transport = transport
		}
	}
	p.checkLink(f)
}

// checkLink reports a link that can't have the fault.
func (p *faultParser) checkLink(f *faultStep) {
	betweenAgents := f.from.Agents != nil && f.to.Agents != nil
	switch {
	case p.lineFailed:
	case f.from.Agents == nil && f.to.Agents == nil:
		p.fail("no link joins these ends, expected agents at one of them")
	case !betweenAgents && f.transport == transportDatagrams:
		p.fail("agents send datagrams to agents only, expected agents at both ends")
	case f.datagramsOnly && (!betweenAgents || f.transport == transportTCP):
		p.fail("streams keep their order and lose nothing twice, expected this fault on datagrams between agents")
	case f.streamsOnly && f.transport == transportDatagrams:
		p.fail("datagrams have no connection, expected this fault on streams")
	}
}
