package catalog

import (
	"cmp"
	"net"
	"slices"
	"strings"
)

// Table is an immutable index of the routes, services and accounts of a document.
type Table struct {
	Document *Document

	hosts    map[string][]*Route
	services map[string]*Service
	keys     map[string]*Account
	accounts map[string]*Account
}

// NewTable returns an index of a document, which must not be modified afterwards.
func NewTable(d *Document) *Table {
	t := &Table{
		Document: d, hosts: map[string][]*Route{}, services: map[string]*Service{},
		keys: map[string]*Account{}, accounts: map[string]*Account{},
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		h := strings.ToLower(r.Host)
		t.hosts[h] = append(t.hosts[h], r)
	}
	for _, rs := range t.hosts {
		slices.SortStableFunc(rs, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Accounts {
		a := &d.Accounts[i]
		t.accounts[a.Name] = a
		for _, k := range a.Keys {
			t.keys[k] = a
		}
	}
	return t
}

// Route returns the route of a host with the longest prefix of the path, or nil. The host may include
// a port.
func (t *Table) Route(host, path string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with a name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// AccountByKey returns the account that an API key belongs to, or nil.
func (t *Table) AccountByKey(key string) *Account { return t.keys[key] }

// Account returns the account with a name, or nil.
func (t *Table) Account(name string) *Account { return t.accounts[name] }

// NeedsKey reports whether requests of a route must carry a known API key. Without configured
// accounts, none needs one.
func (t *Table) NeedsKey(r *Route) bool { return len(t.Document.Accounts) > 0 && !r.Public }
