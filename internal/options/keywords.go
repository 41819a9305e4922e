package options

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"
)

const (
	minLease = 200 * time.Millisecond // delays on a busy machine would let shorter leases expire
	maxLease = time.Minute

	maxAgents     = 64 // agents have indices from 0 to 63
	platformIndex = -1 // the agent has the index that the platform configures

	maxQueues   = 65536
	maxRequests = 1_000_000
	maxWeight   = 1e6

	// derived is the stored value of a limit that is derived from the platform's limits.
	derived = 0
	// weightSeparator is the word between a tenant's name and its weight.
	weightSeparator = "share"
)

// keywords maps the current name of each keyword to its definition.
var keywords = map[string]keyword{
	"log-level": enumKeyword(func(o *Options) *string { return &o.Log.Level }, "debug", "info", "warn", "error").reloadable(),
	"log-form":  enumKeyword(func(o *Options) *string { return &o.Log.Format }, "text", "json").reloadable(),

	"admission-control":  switchKeyword(func(o *Options) *bool { return &o.Admission.Enabled }),
	"admission-queues":   countKeyword(func(o *Options) *int { return &o.Admission.Queues }, 1, maxQueues),
	"admission-requests": countOrAutoKeyword(func(o *Options) *int { return &o.Admission.Requests }, 1, maxRequests, derived),
	"admission-bytes":    bytesKeyword(),
	"admission-client":   clientKeyword(),
	"retry-after":        switchKeyword(func(o *Options) *bool { return &o.Admission.SendsRetryAfter }),
	"coalesce-requests":  switchKeyword(func(o *Options) *bool { return &o.Admission.Coalesces }),
	"tenant":             tenantKeyword().reloadable(),

	"leader-election": switchKeyword(func(o *Options) *bool { return &o.Coordinator.Enabled }),
	"replica-id":      indexKeyword(),
	"election-group":  textKeyword("a name", func(o *Options) *string { return &o.Coordinator.Group }, isNotEmpty),
	"election-lease":  leaseKeyword(),
	"election-listen": textKeyword("a host and port", func(o *Options) *string { return &o.Coordinator.Listen }, isAddress),
	"election-peer":   peerKeyword().reloadable(),
	"state-folder":    textKeyword("the absolute path of a folder", func(o *Options) *string { return &o.Coordinator.StateDir }, isAbsolutePath),
	"admin":           textKeyword("the absolute path of a Unix socket", func(o *Options) *string { return &o.Coordinator.AdminSocket }, isAbsolutePath),
}

func sortedKeywords() []string { return slices.Sorted(maps.Keys(keywords)) }

func bytesKeyword() keyword {
	const syntax = "a size such as 512KiB or 8MiB, or auto"
	return keyword{
		syntax: syntax, maxValues: 1,
		parse: func(o *Options, values []string) error {
			if values[0] == valueAuto {
				o.Admission.Bytes = derived
				return nil
			}
			size, ok := parseSize(values[0])
			if !ok {
				return &valueError{value: values[0], expected: syntax}
			}
			o.Admission.Bytes = size
			return nil
		},
		format: func(o *Options) []string {
			if o.Admission.Bytes == derived {
				return []string{valueAuto}
			}
			return []string{strconv.FormatInt(o.Admission.Bytes>>10, 10) + "KiB"}
		},
	}
}

// parseSize reads a positive size with one of the units KiB, MiB and GiB, and returns it in bytes.
func parseSize(text string) (size int64, ok bool) {
	for unit, shift := range map[string]int{"KiB": 10, "MiB": 20, "GiB": 30} {
		digits, hasUnit := strings.CutSuffix(text, unit)
		if !hasUnit {
			continue
		}
		number, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || number <= 0 || number >= math.MaxInt64>>shift {
			return 0, false
		}
		return number << shift, true
	}
	return 0, false
}

func clientKeyword() keyword {
	return keyword{
		syntax: "address|connection|header NAME", maxValues: 2,
		parse: func(o *Options, values []string) error {
			identity, header, isKnown := parseClientIdentity(values)
			if !isKnown {
				return &valueError{value: strings.Join(values, " "), expected: "address, connection, or header and a name"}
			}
			o.Admission.ClientIdentity = identity
			o.Admission.Header = header
			return nil
		},
		format: func(o *Options) []string {
			return []string{strings.TrimSpace(string(o.Admission.ClientIdentity) + " " + o.Admission.Header)}
		},
	}
}

// parseClientIdentity reads the values of a clientKeyword. The header's name is empty unless clients are identified by a
// header.
func parseClientIdentity(values []string) (identity ClientIdentity, header string, isKnown bool) {
	identity = ClientIdentity(values[0])
	switch identity {
	case ClientByAddress, ClientByConnection:
		return identity, "", len(values) == 1
	case ClientByHeader:
		if len(values) == 2 {
			return identity, values[1], true
		}
	}
	return "", "", false
}

func tenantKeyword() keyword {
	return keyword{
		syntax: "NAME share WEIGHT", maxValues: 3, isRepeatable: true,
		parse: func(o *Options, values []string) error {
			if len(values) != 3 || values[1] != weightSeparator {
				return &valueError{value: strings.Join(values, " "), expected: "a name, the word share and a weight"}
			}
			weight, err := strconv.ParseFloat(values[2], 64)
			isPositive := weight > 0 // false for NaN
			if err != nil || !isPositive || weight > maxWeight {
				return fmt.Errorf("has the weight %q, expected a number above 0, up to 1e6", values[2])
			}
			o.Admission.Weights[values[0]] = weight
			return nil
		},
		format: func(o *Options) []string {
			var lines []string
			for name, weight := range o.Admission.Weights {
				lines = append(lines, quoteIfNeeded(name)+" "+weightSeparator+" "+strconv.FormatFloat(weight, 'g', -1, 64))
			}
			sort.Strings(lines)
			return lines
		},
	}
}

func leaseKeyword() keyword {
	const syntax = "a time from 200ms to 1m"
	return keyword{
		syntax: syntax, maxValues: 1,
		parse: func(o *Options, values []string) error {
			lease, err := time.ParseDuration(values[0])
			if err != nil || lease < minLease || lease > maxLease {
				return &valueError{value: values[0], expected: syntax}
			}
			o.Coordinator.Lease = lease
			return nil
		},
		format: func(o *Options) []string { return []string{o.Coordinator.Lease.String()} },
	}
}

func indexKeyword() keyword {
	const syntax = "0 to 63, or auto"
	return keyword{
		syntax: syntax, maxValues: 1,
		parse: func(o *Options, values []string) error {
			if values[0] == valueAuto {
				o.Coordinator.Index = platformIndex
				return nil
			}
			index, ok := parseAgentIndex(values[0])
			if !ok {
				return &valueError{value: values[0], expected: syntax}
			}
			o.Coordinator.Index = index
			return nil
		},
		format: func(o *Options) []string {
			if o.Coordinator.Index == platformIndex {
				return []string{valueAuto}
			}
			return []string{strconv.Itoa(o.Coordinator.Index)}
		},
	}
}

func peerKeyword() keyword {
	return keyword{
		syntax: "AGENT HOST:PORT", maxValues: 2, isRepeatable: true,
		parse: func(o *Options, values []string) error {
			index, ok := parseAgentIndex(values[0])
			if !ok || len(values) != 2 || !isAddress(values[1]) {
				return &valueError{
					value:    strings.Join(values, " "),
					expected: "an agent's number from 0 to 63, and its host and port",
				}
			}
			o.Coordinator.Peers[index] = values[1]
			return nil
		},
		format: func(o *Options) []string {
			var lines []string
			for index := range maxAgents {
				if address, ok := o.Coordinator.Peers[index]; ok {
					lines = append(lines, fmt.Sprint(index, " ", address))
				}
			}
			return lines
		},
	}
}

func parseAgentIndex(text string) (index int, ok bool) {
	index, err := strconv.Atoi(text)
	return index, err == nil && index >= 0 && index < maxAgents
}
