package main

import (
	"math"
	"runtime"
	"runtime/debug"

	"switchfork/internal/config"
)

const (
	// heapShare is the part of the agent's memory that the garbage collector's limit gets; the rest is for stacks, buffers and the
	// program.
	heapShare = 0.7
	// gcPercent lets garbage grow to several times the live data, which is a few MB, before collecting it is worth the time.
	gcPercent = 400
)

// deploymentSettings are the values of the configuration from which an agent is built.
type deploymentSettings struct {
	identity        config.Identity
	limits          config.ResourceLimits
	peers           config.Peers
	seed            uint64
	classes         []config.RequestClass
	classPriorities []config.ClassPriority // in the order of classes
	tenants         []string
	tenantShares    []float64 // in the order of tenants
	zones           []string
	connections     config.Connections
}

// readSettings reads the configuration's values, and checks them all.
func readSettings(file *config.File) (deploymentSettings, error) {
	settings := deploymentSettings{
		identity:        file.Identity(),
		limits:          file.ResourceLimits(),
		peers:           file.Peers(),
		seed:            file.Seed(),
		classes:         file.Deployment.RequestClasses(),
		tenants:         file.Deployment.Tenants(),
		tenantShares:    file.Deployment.TenantShares(),
		classPriorities: file.Deployment.ClassPriorities(),
		zones:           file.Deployment.Zones(),
		connections:     file.Deployment.Connections(),
	}
	return settings, file.Err()
}

// setRuntimeLimits fits the Go runtime to what the agent may use.
func setRuntimeLimits(limits config.ResourceLimits) {
	const bytesPerMB = 1 << 20
	runtime.GOMAXPROCS(int(max(1, math.Ceil(limits.Cores))))
	debug.SetMemoryLimit(int64(heapShare * float64(limits.MemoryMB) * bytesPerMB))
	debug.SetGCPercent(gcPercent)
}
