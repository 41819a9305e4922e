package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
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
