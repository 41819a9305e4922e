package coordinator

// MemberChangeKind says whether a member is added or removed. Its values are part of the URL paths of the admin address.
type MemberChangeKind string

// The kinds of member changes.
const (
	AddMember    MemberChangeKind = "add"
	RemoveMember MemberChangeKind = "remove"
)

// MemberChange adds an agent to the members, or removes it from them.
type MemberChange struct {
	Kind  MemberChangeKind
	Agent int // from 0 to election.MaxReplicas-1
}

// apply returns the bit mask of the members after the change.
func (m MemberChange) apply(mask uint64) uint64 {
	if m.Kind == RemoveMember {
		return mask &^ (1 << m.Agent)
	}
	return mask | 1<<m.Agent
}
