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
	// adminHost stands in the requests' URLs; the client connects to a Unix socket whatever the host.
	adminHost = "http://agent"
	// maxReasonBytes of a refusal are read.
	maxReasonBytes = 256
)

// StatusCodeError tells that an agent has not answered a query with its status.
type StatusCodeError struct{ Status string }

func (e *StatusCodeError) Error() string { return "the agent answers " + e.Status }

// MemberChangeError tells why an agent has refused a change of the members, in the agent's own text.
type MemberChangeError struct{ Reason string }

func (e *MemberChangeError) Error() string { return e.Reason }

// QueryStatus asks the agent whose admin address is given for its status. An agent that can't tell is a *StatusCodeError.
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

// RequestMemberChange asks the agent whose admin address is given, which has to be the leader, to add or remove a member. A refusal is
// a *MemberChangeError.
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
	reason, _ := io.ReadAll(io.LimitReader(response.Body, maxReasonBytes)) // a part of the reason is better than none
	return &MemberChangeError{string(reason)}
}

// adminClient speaks HTTP over a Unix socket.
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
	_ = response.Body.Close() // it was read as far as it is used
}
