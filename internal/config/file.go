package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
)

const (
	fileKey       = "config"          // represents the file in keys and messages
	deploymentKey = "config.settings" // represents the file's "settings" object
)

// File is an agent's configuration: the JSON file that GW_CONFIG names, with the values that the other GW_* variables
// override. The embedded Settings hold the file's top-level keys, and Deployment holds the keys of its "settings" object.
type File struct {
	*Settings
	Deployment *Settings
	Endpoints  json.RawMessage // the last endpoint list that the agent received, in the discovery server's format
	Rollout    json.RawMessage // the state of the latest rollout, in the rollout controller's format
	getenv     func(string) string
	addresses  UpstreamAddresses
}

// fileSections are the parts of the file that are kept as raw JSON.
type fileSections struct {
	Endpoints json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
	Platform  platformSection `json:"platform"`
}

type platformSection struct {
	Rollout json.RawMessage `json:"news"`
}

// Load reads the file that GW_CONFIG names. It gets environment variables from getenv.
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
	if f.Settings, err = parseJSON(fileKey, raw); err != nil {
		return nil, err
	}
	if len(sections.Settings) == 0 {
		return nil, &Error{Key: deploymentKey, Reason: "is missing"}
	}
	if f.Deployment, err = parseJSON(deploymentKey, sections.Settings); err != nil {
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

// Validate reads the settings that the agent reads when it starts, and returns the first error.
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
