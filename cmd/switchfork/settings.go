package main

import (
	"math"
	"runtime"
	"runtime/debug"

	"switchfork/internal/config"
	"switchfork/internal/proxy"
)

const (
	// heapShare is the garbage collector's memory limit, as a fraction of the agent's memory limit. The rest is left for stacks, buffers
	// and the program itself.
	heapShare = 0.7
	// gcPercent lets garbage grow to several times the live data before a collection. The live data is only a few MB, so earlier
	// collections would not be worth their time.
	gcPercent = 400

	bytesPerMB = 1 << 20
	// clientConnMemoryShare is the part of the agent's memory limit that connections to clients may take.
	clientConnMemoryShare = 0.25
	// requestMemoryShare is the part of the agent's memory limit that clients' requests may take.
	requestMemoryShare = 0.2
)

// deploymentSettings holds the values of the configuration from which an agent is built.
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

// readSettings reads the values of the configuration. It returns the first error in the file's top-level keys; errors in the
// deployment's settings are returned by NewRouter.
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

// maxClients returns how many connections to clients fit into their part of the memory limit.
func (s *deploymentSettings) maxClients() int {
	return int(clientConnMemoryShare * float64(s.limits.MemoryMB) * bytesPerMB / proxy.ClientConnBytes)
}

// requestMemory returns how many bytes clients' requests may take together.
func (s *deploymentSettings) requestMemory() int64 {
	return int64(requestMemoryShare * float64(s.limits.MemoryMB) * bytesPerMB)
}

// setRuntimeLimits limits the Go runtime to the resources that the agent may use.
func setRuntimeLimits(limits config.ResourceLimits) {
	runtime.GOMAXPROCS(int(max(1, math.Ceil(limits.Cores))))
	debug.SetMemoryLimit(int64(heapShare * float64(limits.MemoryMB) * bytesPerMB))
	debug.SetGCPercent(gcPercent)
}
