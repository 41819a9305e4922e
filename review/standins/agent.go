package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"time"
)

// object is a JSON object.
type object = map[string]any

// agentProcess is one real agent, started by the run line of the deploy file.
type agentProcess struct {
	name    string
	address string
	command *exec.Cmd
	done    chan struct{}
}

var runLine = regexp.MustCompile(`(?m)^run = "([^"]*)"`)

// startAgent writes the configuration and the operator's file (none if operator is empty) and starts the agent from the root of the
// repository. The process is killed if this one ends.
func startAgent(root, folder string, config object, operator string) (*agentProcess, error) {
	deploy, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	if err != nil {
		return nil, err
	}
	run := runLine.FindSubmatch(deploy)
	if run == nil {
		return nil, errors.New("deploy/balancer.toml has no run line")
	}
	name := config["name"].(string)
	raw, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return nil, err
	}
	configPath := filepath.Join(folder, name+".json")
	if err = os.WriteFile(configPath, raw, 0o600); err != nil {
		return nil, err
	}
	environment := append(os.Environ(), "GW_CONFIG="+configPath, "GW_NAME=", "GW_LISTEN=", "GW_DISCOVERY=", "SWITCHFORK_OPERATOR=")
	if operator != "" {
		operatorPath := filepath.Join(folder, name+".conf")
		if err = os.WriteFile(operatorPath, []byte(operator), 0o600); err != nil {
			return nil, err
		}
		environment[len(environment)-1] += operatorPath
	}
	log, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		return nil, err
	}
	a := &agentProcess{name: name, address: config["listen"].(string), done: make(chan struct{})}
	a.command = exec.Command("/bin/sh", "-c", string(run[1]))
	a.command.Dir = root
	a.command.Env = dropEmpty(environment)
	a.command.Stdout, a.command.Stderr = log, log
	if err = startChild(a.command, a.done); err != nil {
		return nil, err
	}
	return a, a.waitReady()
}

// dropEmpty removes the variables without a value that this file sets, so that they do not override anything.
func dropEmpty(environment []string) (kept []string) {
	for _, entry := range environment {
		switch entry {
		case "GW_NAME=", "GW_LISTEN=", "GW_DISCOVERY=":
		default:
			kept = append(kept, entry)
		}
	}
	return kept
}

func (a *agentProcess) waitReady() error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if !a.isRunning() {
			return fmt.Errorf("agent %s has ended at its start", a.name)
		}
		response, err := client.Get("http://" + a.address + "/_health")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("agent %s is not ready", a.name)
}

func (a *agentProcess) isRunning() bool {
	select {
	case <-a.done:
		return false
	default:
		return true
	}
}

func (a *agentProcess) signal(s syscall.Signal) { _ = a.command.Process.Signal(s) }

func (a *agentProcess) kill() {
	if a.isRunning() {
		a.signal(syscall.SIGKILL)
		<-a.done
	}
}

// freeAddresses returns unused addresses on loopback.
func freeAddresses(network string, count int) (addresses []string, err error) {
	for range count {
		if network == "udp" {
			conn, err := net.ListenPacket("udp", "127.0.0.1:0")
			if err != nil {
				return nil, err
			}
			defer func() { _ = conn.Close() }()
			addresses = append(addresses, conn.LocalAddr().String())
			continue
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}
