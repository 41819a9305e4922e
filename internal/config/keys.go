package config

import "fmt"

// Environment variables that configure the agent. GW_CONFIG is the path of the configuration file. The others override a key of the
// file.
const (
	envConfig    = "GW_CONFIG"
	envName      = "GW_NAME"
	envListen    = "GW_LISTEN"
	envDiscovery = "GW_DISCOVERY"
)

// Keys of the agent's configuration file outside the "settings" object.
const (
	keyName            = "name"
	keyListen          = "listen"
	keySeed            = "seed"
	keyDiscoveryServer = "discovery"
	keyRolloutServer   = "platform.address"
	keyPeerListen      = "peer_listen"
	keyPeerAddresses   = "peers"
	keyPeerBroadcast   = "peers_all"
	keyCores           = "limits.cores"
	keyMemoryMB        = "limits.memory_mb"
	keySockets         = "limits.sockets"
)

// Keys of the deployment's settings, which agents and the simulator share. The values of keys that end in Ms are in
// milliseconds.
const (
	keyAgentIndex    = "Me"
	keyAgentCount    = "Balancers"
	keyZone          = "Zone"
	keyZoneNames     = "Localities"
	keyDiscoveryMode = "Discovery"
	keyWeights       = "Weights"

	keyLoadReportMode   = "Feedback.How"
	keyLoadReportFields = "Feedback.Fields"

	keyClasses     = "Grades"
	keyClassCount  = keyClasses + ".count"
	keyTenants     = "Parties"
	keyTenantCount = keyTenants + ".count"

	keyKeyAffinity       = "FamilyInfo.WarmKeys"
	keyStageCaps         = "FamilyInfo.StageCap"
	keyStageShares       = "FamilyInfo.StageShare"
	keyGuardedStages     = "FamilyInfo.Shielded"
	keyKeysNeverGoBack   = "FamilyInfo.OneWay"
	keyReplacement       = "FamilyInfo.Swap"
	keyVotingRule        = "FamilyInfo.VoteMode"
	keyVoteLifetime      = "FamilyInfo.VoteStandsMs"
	keyVotesToAdvance    = "FamilyInfo.VotesToGo"
	keyVotesToRollback   = "FamilyInfo.NoesNeeded"
	keyCallTimeout       = "FamilyInfo.CallTimeoutMs"
	keyCallsPerSecond    = "FamilyInfo.ApiRate"
	keyMetricsInterval   = "FamilyInfo.TallyEveryMs"
	keyMetricsSample     = "FamilyInfo.TallySample"
	keyExposureWindow    = "FamilyInfo.CountedOverMs"
	keyExposureAllowance = "FamilyInfo.Allowance"
	keyExposureScope     = "FamilyInfo.CountedBy"

	keyInitialCapacity   = "Safety.ColdFrom"
	keySlowStartDuration = "Safety.ColdMs"
	keyOverloadMultiple  = "Safety.TipMultiple"
	keyOverloadAfter     = "Safety.TipAfterMs"
	keyDrainGrace        = "Safety.DrainGraceMs"
	keyAnswerGrace       = "Safety.GraceToAnswerMs"
	keyPollWithin        = "Safety.AskWithinMs"

	keyMaxAttempts     = "Limits.MaxAttempts"
	keyHedging         = "Limits.ParallelTries"
	keyRetryAfter      = "Limits.RetryAfter"
	keyMaxRetryAfter   = "Limits.MaxRetryAfterMs"
	keyHealthChecks    = "Limits.Probes"
	keyCancellation    = "Limits.Cancel"
	keyGossip          = "Limits.MayTell"
	keyDialTimeout     = "Limits.DialTimeoutMs"
	keyIdleTimeout     = "Limits.ConnIdleMs"
	keyMaxOpenRequests = "Limits.OpenCap"

	keyCrossZoneCost   = "Charges.CrossZone"
	keyWasteCost       = "Charges.Waste"
	keyHealthCheckCost = "Charges.Probe"
	keyGossipCost      = "Charges.Peer"
)

// Keys of a request class. classKey adds the prefix and the index of the class.
const (
	classKeyName             = "Name"
	classKeyIdempotency      = "Repeat"
	classKeyDedupScope       = "KeyScope"
	classKeyDedupWindow      = "WindowMs"
	classKeyLatencyObjective = "SloMs"
	classKeyTimeout          = "HardLimitMs"
	classKeyPriorityWeight   = "Worth"
	classKeyLateWeightShare  = "LateValue"
)

// Keys of a tenant. tenantKey adds the prefix and the index of the tenant.
const (
	tenantKeyName  = "Name"
	tenantKeyShare = "Fraction"
)

func classKey(index int, key string) string { return fmt.Sprintf("%s.%d.%s", keyClasses, index, key) }

func tenantKey(index int, key string) string { return fmt.Sprintf("%s.%d.%s", keyTenants, index, key) }
