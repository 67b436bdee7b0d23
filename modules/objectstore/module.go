// Package objectstore is the module "objectstore": the HTTP client of the platform's
// object API (design.md, section 6.4).
package objectstore

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusline/arbutusline"
	"github.com/arbutusline/arbutusline/internal/httpcheck"
	"github.com/arbutusline/arbutusline/objectstore"
	"github.com/arbutusline/arbutusline/settings"
)

// Name is the name of the module.
const Name = "objectstore"

// Defaults of the settings.
const (
	defaultCallTimeout    = 2 * time.Second
	defaultConnectTimeout = 500 * time.Millisecond
	defaultMaxWatchWait   = 30 * time.Second
	defaultMaxConnections = 16
)

// Client is an objectstore.Store that calls the object API over HTTP. After Provision or
// NewClient it is safe for concurrent use.
type Client struct {
	// Addresses are the base URLs of the object API, for example
	// "http://10.0.0.5:7400". A call uses one of them and fails over to the next
	// when a connection cannot be opened. Required.
	Addresses []string `json:"addresses"`
	// CallTimeout bounds every call; a watch may take this long on top of its
	// waiting time. Default 2s.
	CallTimeout settings.Duration `json:"call_timeout"`
	// ConnectTimeout bounds the time to open a connection. Default 500ms.
	ConnectTimeout settings.Duration `json:"connect_timeout"`
	// MaxWatchWait bounds the waiting time of a watch. Default 30s.
	MaxWatchWait settings.Duration `json:"max_watch"`
	// MaxConnections bounds the number of open connections to each address. Default 16.
	MaxConnections int `json:"connections"`

	httpClient *http.Client
	baseURLs   []*url.URL
	preferred  preferredAddress
	metrics    metrics
}

var _ objectstore.Store = (*Client)(nil)

func init() {
	arbutusline.Register(func() arbutusline.Module { return newDefaultClient() })
}

func newDefaultClient() *Client {
	return &Client{
		Addresses:      []string{},
		CallTimeout:    settings.Duration(defaultCallTimeout),
		ConnectTimeout: settings.Duration(defaultConnectTimeout),
		MaxWatchWait:   settings.Duration(defaultMaxWatchWait),
		MaxConnections: defaultMaxConnections,
	}
}

// NewClient returns a client with default settings, for programs without a kernel.
func NewClient(addresses []string) (*Client, error) {
	client := newDefaultClient()
	client.Addresses = addresses
	if err := client.Provision(nil); err != nil {
		return nil, err
	}
	return client, client.Validate()
}

// ModuleName returns Name.
func (client *Client) ModuleName() string { return Name }

// Provision parses the addresses and creates the HTTP client. It opens no connection,
// so that a process can start during an outage of the store.
func (client *Client) Provision(k *arbutusline.Kernel) error {
	client.metrics = newMetrics()
	if err := client.metrics.register(k); err != nil {
		return err
	}
	for _, address := range client.Addresses {
		base, err := url.Parse(address)
		if err != nil {
			return joinErrors(settings.ErrInvalid, err)
		}
		if (base.Scheme != "http" && base.Scheme != "https") || base.Host == "" {
			return errors.Wrapf(settings.ErrInvalid, "address %q: expected http://HOST:PORT", address)
		}
		client.baseURLs = append(client.baseURLs, base)
	}
	client.httpClient = httpcheck.NewClient(&http.Transport{
		DialContext:         httpcheck.Dialer(&net.Dialer{Timeout: client.ConnectTimeout.AsDuration()}),
		MaxConnsPerHost:     client.MaxConnections,
		MaxIdleConnsPerHost: client.MaxConnections,
		IdleConnTimeout:     time.Minute,
	})
	return nil
}

// Validate checks that there is an address and that all limits are positive.
func (client *Client) Validate() error {
	if len(client.baseURLs) == 0 {
		return errors.Wrap(settings.ErrInvalid, "addresses: expected at least one")
	}
	if client.CallTimeout <= 0 || client.ConnectTimeout <= 0 || client.MaxWatchWait <= 0 || client.MaxConnections <= 0 {
		return errors.Wrap(settings.ErrInvalid,
			"call_timeout, connect_timeout, max_watch and connections: expected more than 0")
	}
	return nil
}

// Stop closes idle connections.
func (client *Client) Stop(context.Context) error {
	client.httpClient.CloseIdleConnections()
	return nil
}
