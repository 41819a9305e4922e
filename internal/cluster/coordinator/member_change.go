package coordinator

// MemberChangeKind is what happens to a member. Its values stand in the resources of the admin address.
type MemberChangeKind string

// The changes.
const (
	AddMember    MemberChangeKind = "add"
	RemoveMember MemberChangeKind = "remove"
)

// MemberChange adds an agent to the members, or removes it.
type MemberChange struct {
	Kind  MemberChangeKind
	Agent int // from 0 to election.MaxReplicas-1
}

// apply returns the members' mask after the change.
func (m MemberChange) apply(mask uint64) uint64 {
	if m.Kind == RemoveMember {
		return mask &^ (1 << m.Agent)
	}
	return mask | 1<<m.Agent
}
