package faulttest

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"switchfork/internal/fakes"
	"switchfork/internal/faulttest/netfault"
)

// fakeDiscovery serves the endpoint list. The list that an agent gets has the addresses of that agent's relays to the endpoints.
type fakeDiscovery struct {
	broadcaster
	listener   *countingListener
	server     *http.Server
	versionsMu sync.Mutex
	versions   [][]EndpointRow
	address    func(agent, endpoint int) string // returns the address at which an agent reaches an endpoint
}

func newFakeDiscovery(ctx context.Context, now netfault.Clock, address func(agent, endpoint int) string) (*fakeDiscovery, error) {
	l, err := listen(ctx)
	if err != nil {
		return nil, err
	}
	d := &fakeDiscovery{broadcaster: newBroadcaster(now), listener: l, address: address, versions: [][]EndpointRow{nil}}
	d.server = serveHTTP(l, d.serveList)
	return d, nil
}

func (d *fakeDiscovery) serveList(w http.ResponseWriter, r *http.Request) {
	conn := countedConnOf(r)
	newest := d.newestVersion()
	if r.URL.Query().Get("stream") != "" {
		d.recordCall(conn.agent, "watch")
		d.serve(w, r, newest, feed{text: d.document, keepAlive: "\n"})
		return
	}
	d.recordCall(conn.agent, "list")
	text := d.document(conn.agent, newest)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	d.send(w, conn, newest, text)
}

func (d *fakeDiscovery) newestVersion() int {
	d.versionsMu.Lock()
	defer d.versionsMu.Unlock()
	return len(d.versions) - 1
}

func (d *fakeDiscovery) rows(version int) []EndpointRow {
	d.versionsMu.Lock()
	defer d.versionsMu.Unlock()
	return d.versions[version]
}

func (d *fakeDiscovery) snapshotVersions() [][]EndpointRow {
	d.versionsMu.Lock()
	defer d.versionsMu.Unlock()
	return slices.Clone(d.versions)
}

// document returns a version of the list as an agent gets it. Every document is a full list.
func (d *fakeDiscovery) document(agent, version int) string {
	var entries []string
	for _, row := range d.rows(version) {
		if row.Health != healthRemoved {
			address := d.address(agent, row.Endpoint)
			entries = append(entries, fakes.ListEntryStartedAt(endpointName(row.Endpoint), address, row.Health, row.Build, row.StartedAtMS))
		}
	}
	return fakes.ListDocument(version+1, true, entries...)
}

// update creates a new version of the list and publishes it.
func (d *fakeDiscovery) update(change func(rows []EndpointRow) []EndpointRow) {
	d.versionsMu.Lock()
	newest := d.versions[len(d.versions)-1]
	d.versions = append(d.versions, change(append([]EndpointRow(nil), newest...)))
	version := len(d.versions) - 1
	d.versionsMu.Unlock()
	d.publish(version)
}
