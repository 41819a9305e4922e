package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
)

const (
	fileName       = "config"          // stands for the file in keys and messages
	deploymentName = "config.settings" // stands for its "settings" object
)

// File is an agent's configuration: the JSON file that GW_CONFIG names, overridden by the GW_* variables. The embedded
// Settings hold the file's own keys, Deployment those of its "settings" object.
type File struct {
	*Settings
	Deployment *Settings
	Endpoints  json.RawMessage // the endpoint list as the agent last knew it, in the discovery server's format
	Rollout    json.RawMessage // the state of the latest rollout, in the rollout controller's format
	getenv     func(string) string
	addresses  UpstreamAddresses
}

// UpstreamAddresses are the addresses that a reload may change, as the file has them.
type UpstreamAddresses struct{ Discovery, Rollout string }

// fileSections are the parts of the file that are handed on in their JSON form.
type fileSections struct {
	Endpoints json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
	Platform  platformSection `json:"platform"`
}

type platformSection struct {
	Rollout json.RawMessage `json:"news"`
}

// Load reads the file that GW_CONFIG names.
func Load(getenv func(string) string) (*File, error) {
	path := getenv(envConfig)
	if path == "" {
		return nil, errors.New(envConfig + " is not set")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", envConfig, err)
	}
	var sections fileSections
	if err = json.Unmarshal(raw, &sections); err != nil {
		return nil, fmt.Errorf("%s %s: %w", envConfig, path, err)
	}
	f := &File{getenv: getenv, Endpoints: sections.Endpoints, Rollout: sections.Platform.Rollout}
	if f.Settings, err = parseJSON(fileName, raw); err != nil {
		return nil, err
	}
	if len(sections.Settings) == 0 {
		return nil, &Error{Key: deploymentName, Reason: "is missing"}
	}
	if f.Deployment, err = parseJSON(deploymentName, sections.Settings); err != nil {
		return nil, err
	}
	f.addresses = UpstreamAddresses{
		Discovery: f.address(keyDiscoveryServer, f.values[keyDiscoveryServer]),
		Rollout:   f.address(keyRolloutServer, f.text(keyRolloutServer)),
	}
	if err = f.Err(); err != nil {
		return nil, err
	}
	return f, nil
}

// Validate reads everything that the agent reads at its start, and returns the first fault.
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
	if err := f.Err(); err != nil {
		return err
	}
	_, err := f.Deployment.NewRouter(seed)
	return err
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
		if nextValue, ok := next.values[key]; needsRestart(key) && (!ok || nextValue != value) {
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
