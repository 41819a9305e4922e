package faulttest

import (
	"strings"

	"switchfork/internal/faulttest/netfault"
)

const (
	// maxByteCount is the largest bandwidth, in bytes per second, and the largest number of bytes until a reset.
	maxByteCount = 1 << 30
	// maxReorderShare is the largest share of datagrams that can be overtaken: at most one of two.
	maxReorderShare = 0.5
)

// faultParser parses the steps that put faults on links or heal them.
type faultParser struct{ *setReader }

// faultParsers maps the keyword of a fault to the method that parses the arguments between the keyword and the link.
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

// fault parses a fault and its link. It reports false if the keyword is not that of a fault.
func (p *faultParser) fault(keyword string) (f faultStep, isFault bool) {
	parse, isFault := faultParsers[keyword]
	if !isFault {
		return f, false
	}
	parse(p, &f)
	p.link(&f)
	return f, true
}

// heal parses the links whose faults are removed: all, or those between two parties.
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
			p.fail("the spread is larger than the delay, expected at most %v", mean)
		}
	}
	f.apply = func(f *netfault.Fault) { f.Delay, f.Jitter = delay, jitter }
}

func (p *faultParser) bandwidth(f *faultStep) {
	rate := p.integer(p.nextToken("bytes per second"), "the rate", 1, maxByteCount)
	f.apply = func(f *netfault.Fault) { f.BytesPerSecond = rate }
}

func (p *faultParser) reset(f *faultStep) {
	bytes := p.integer(p.nextToken("bytes until the reset"), "the number of bytes", 1, maxByteCount)
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

// link parses A -> B or A <-> B, optionally followed by tcp or datagrams.
func (p *faultParser) link(f *faultStep) {
	f.from = p.party()
	switch token := p.nextToken("-> or <->"); token {
	case "->":
	case "<->":
		f.bidirectional = true
	default:
		p.fail("unexpected %q between the ends of a link, expected -> or <->", token)
	}
	f.to = p.party()
	for _, transport := range []string{transportTCP, transportDatagrams} {
		if p.accept(transport) {
			f.transport = transport
		}
	}
	p.checkLink(f)
}

// checkLink reports an error if the link can't have the fault.
func (p *faultParser) checkLink(f *faultStep) {
	betweenAgents := f.from.Agents != nil && f.to.Agents != nil
	switch {
	case p.lineFailed:
	case f.from.Agents == nil && f.to.Agents == nil:
		p.fail("there is no link between these ends, expected agents at one of them")
	case !betweenAgents && f.transport == transportDatagrams:
		p.fail("agents send datagrams to agents only, expected agents at both ends")
	case f.datagramsOnly && (!betweenAgents || f.transport == transportTCP):
		p.fail("streams keep their order and carry no duplicates, expected this fault on datagrams between agents")
	case f.streamsOnly && f.transport == transportDatagrams:
		p.fail("datagrams have no connection, expected this fault on streams")
	}
}
