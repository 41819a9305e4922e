package coordinator

import (
	"context"
	"encoding/json"
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

// QueryStatus asks the agent whose admin address is given for its status.
func QueryStatus(path string) (report StatusReport, err error) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, adminHost+statusPath, http.NoBody)
	if err != nil {
		return report, err
	}
	response, err := adminClient(path).Do(request)
	if err != nil {
		return report, err
	}
	defer closeBody(response)
	if response.StatusCode != http.StatusOK {
		return report, &StatusCodeError{response.Status}
	}
	return report, json.NewDecoder(response.Body).Decode(&report)
}

// RequestMemberChange asks the agent whose admin address is given, which has to be the leader, to add or remove another; change is
// "add" or "remove".
func RequestMemberChange(path, change string, agent int) error {
	form := url.Values{agentParameter: {strconv.Itoa(agent)}}
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, adminHost+memberPath+change,
		strings.NewReader(form.Encode()))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	response, err := adminClient(path).Do(request)
	if err != nil {
		return err
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
