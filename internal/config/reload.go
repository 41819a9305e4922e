package config

import (
	"slices"
	"strings"
)

// UpstreamAddresses are the addresses that a reload may change, as the file holds them.
type UpstreamAddresses struct {
	Discovery string
	Rollout   string
}

// Reloaded is a file that was read again, and its differences from the previous one.
type Reloaded struct {
	File *File
	// Moved holds the new value of each address that has changed, and an empty text for an address that has not. Only the
	// addresses in the files are compared. A GW_DISCOVERY that overrode the file at the start can't change while the process
	// runs, so it stays in force until the address in the file changes.
	Moved UpstreamAddresses
	// Unapplied lists the other keys that have changed. They take effect at the next restart.
	Unapplied []string
}

// Reload reads the file again for a running agent, and validates it as at the start. After an error, f stays in force.
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

// changedKeys returns the full keys that need a restart and that differ between previous and next. A key that only one of
// the two has differs, too.
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

// needsRestart reports whether a change of the key is to be reported as one that needs a restart. It returns false for keys
// that a reload applies, for keys of the "settings" object, which are compared separately, and for keys that are used only
// at the start, such as the seed.
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
