package storage

import (
	"errors"
	"fmt"
)

var (
	// ErrCorrupt marks a file that must not be used, because it is damaged or belongs to another agent.
	ErrCorrupt = errors.New("damaged")
	// ErrLocked marks a file that another process has open.
	ErrLocked = errors.New("another process has it open")
)

// FileTooLargeError reports that the file is larger than allowed, so that nothing more is written to it.
type FileTooLargeError struct{ Size int64 }

func (e *FileTooLargeError) Error() string {
	return fmt.Sprintf("the file has %d bytes, at most %d are allowed", e.Size, maxFileBytes)
}

// Owner is the agent to which a state folder belongs.
type Owner struct {
	Group uint64
	Agent int
}

func (o Owner) String() string { return fmt.Sprintf("agent %d of group %016x", o.Agent, o.Group) }

// WrongOwnerError reports that a file holds the state of another agent or group. It wraps ErrCorrupt.
type WrongOwnerError struct{ Stored, Expected Owner }

func (e *WrongOwnerError) Error() string {
	return fmt.Sprintf("%v: the file belongs to %v, expected %v", ErrCorrupt, e.Stored, e.Expected)
}

// Unwrap returns ErrCorrupt.
func (e *WrongOwnerError) Unwrap() error { return ErrCorrupt }

// QuarantinedError reports that a file was refused and renamed, so that a later start begins without it.
type QuarantinedError struct {
	Path    string
	MovedTo string
	Reason  error
}

func (e *QuarantinedError) Error() string {
	return fmt.Sprintf("%s: %v; moved to %s", e.Path, e.Reason, e.MovedTo)
}

// Unwrap returns why the file was refused.
func (e *QuarantinedError) Unwrap() error { return e.Reason }
