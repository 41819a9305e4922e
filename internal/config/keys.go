package config

import "fmt"

// Environment variables of the agent. All but the first override a key of the file.
const (
	envConfig    = "GW_CONFIG"
	envName      = "GW_NAME"
	envListen    = "GW_LISTEN"
	envDiscovery = "GW_DISCOVERY"
)

// Keys of the agent's own file, outside its "settings" object.
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

// Keys of the deployment's settings, the same for an agent and for the simulator. Names that end in Ms hold
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

// Keys of one request class, completed by classKey.
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

// Keys of one tenant, completed by tenantKey.
const (
	tenantKeyName  = "Name"
	tenantKeyShare = "Fraction"
)

func classKey(index int, key string) string { return fmt.Sprintf("%s.%d.%s", keyClasses, index, key) }

func tenantKey(index int, key string) string { return fmt.Sprintf("%s.%d.%s", keyTenants, index, key) }
