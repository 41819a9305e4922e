package config

import (
	"slices"
	"strings"
)

// UpstreamAddresses are the addresses that a reload may change, as the file has them.
type UpstreamAddresses struct {
	Discovery string
	Rollout   string
}

// Reloaded is a file that was read again, and what differs from the one before.
type Reloaded struct {
	File *File
	// Moved holds the addresses that have changed in the file, empty ones where they have not. File is compared with file: a
	// GW_DISCOVERY that overrode the file at the start can't change any more, so it stays in force until the file names another
	// address than it did then.
	Moved UpstreamAddresses
	// Unapplied lists the other keys that have changed, which need a restart.
	Unapplied []string
}

// Reload reads the file again for a running agent, and checks it as at the start. If it is at fault, the present one stays in force.
func (f *File) Reload() (Reloaded, error) {
	next, err := Load(f.getenv)
	if err != nil {
		return Reloaded{}, err
	}
	if err = next.Validate(); err != nil {
		return Reloaded{}, err
	}
	reloaded := Reloaded{File: next}
	if next.addresses.Discovery != f.addresses.Discovery {
		reloaded.Moved.Discovery = next.addresses.Discovery
	}
	if next.addresses.Rollout != f.addresses.Rollout {
		reloaded.Moved.Rollout = next.addresses.Rollout
	}
	reloaded.Unapplied = append(changedKeys(f.Settings, next.Settings), changedKeys(f.Deployment, next.Deployment)...)
	slices.Sort(reloaded.Unapplied)
	return reloaded, nil
}

// changedKeys returns the full keys that need a restart and that differ, or that only one of the two has.
func changedKeys(previous, next *Settings) []string {
	var changed []string
	for key, value := range previous.values {
		nextValue, isPresent := next.values[key]
		isSame := isPresent && nextValue == value
		if needsRestart(key) && !isSame {
			changed = append(changed, previous.prefix+key)
		}
	}
	for key := range next.values {
		if needsRestart(key) && !previous.isSet(key) {
			changed = append(changed, next.prefix+key)
		}
	}
	return changed
}

// needsRestart is false for keys that a reload applies, for those that are compared as a section of their own, and for
// those that describe only the moment of a start.
func needsRestart(key string) bool {
	switch key {
	case keyDiscoveryServer, keySeed:
		return false
	}
	for _, section := range []string{"platform.", "known.", "settings."} {
		if strings.HasPrefix(key, section) {
			return false
		}
	}
	return true
}
