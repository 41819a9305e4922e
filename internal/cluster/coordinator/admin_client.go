package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
)

const (
	// adminHost is the scheme and host of request URLs. The host is never resolved: the client connects to the Unix socket.
	adminHost = "http://agent"
	// maxReasonBytes bounds how much of a refusal's body is read.
	maxReasonBytes = 256
)

// StatusCodeError reports that an agent answered a status query with an HTTP status other than 200.
type StatusCodeError struct{ Status string }

func (e *StatusCodeError) Error() string { return "the agent answers " + e.Status }

// MemberChangeError reports that an agent refused to add or remove a member. Reason is the text that the agent sent.
type MemberChangeError struct{ Reason string }

func (e *MemberChangeError) Error() string { return e.Reason }

// QueryStatus asks the agent that serves the admin socket at path for its status. It returns a *StatusCodeError if the agent can't
// report its status.
func QueryStatus(path string) (StatusReport, error) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, adminHost+statusPath, http.NoBody)
	if err != nil {
		return StatusReport{}, fmt.Errorf("asking the agent at %s for its status: %w", path, err)
	}
	response, err := adminClient(path).Do(request)
	if err != nil {
		return StatusReport{}, fmt.Errorf("asking the agent at %s for its status: %w", path, err)
	}
	defer closeBody(response)
	if response.StatusCode != http.StatusOK {
		return StatusReport{}, &StatusCodeError{response.Status}
	}
	var report StatusReport
	if err = json.NewDecoder(response.Body).Decode(&report); err != nil {
		return StatusReport{}, fmt.Errorf("reading the status of the agent at %s, expected JSON: %w", path, err)
	}
	return report, nil
}

// RequestMemberChange asks the agent that serves the admin socket at path to add or remove a member. That agent has to be the leader.
// A refusal is returned as a *MemberChangeError.
func RequestMemberChange(path string, change MemberChange) error {
	form := url.Values{agentParameter: {strconv.Itoa(change.Agent)}}
	resource := adminHost + memberPath + string(change.Kind)
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, resource, strings.NewReader(form.Encode()))
	if err != nil {
		return fmt.Errorf("asking the agent at %s for a change of members: %w", path, err)
	}
	request.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	response, err := adminClient(path).Do(request)
	if err != nil {
		return fmt.Errorf("asking the agent at %s for a change of members: %w", path, err)
	}
	defer closeBody(response)
	if response.StatusCode == http.StatusOK {
		return nil
	}
	reason, _ := io.ReadAll(io.LimitReader(response.Body, maxReasonBytes)) // if reading fails, the part that was read is reported
	return &MemberChangeError{string(reason)}
}

// adminClient returns an HTTP client that connects to the Unix socket at path.
func adminClient(path string) *http.Client {
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "unix", path)
	}
	return &http.Client{
		Timeout:   adminTimeout,
		Transport: &http.Transport{DisableKeepAlives: true, DialContext: dial},
	}
}

func closeBody(response *http.Response) {
	_ = response.Body.Close() // nothing more is read from the body, so an error has no consequence
}
