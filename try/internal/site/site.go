// Package site sets up a small deployment in one process: fakes of the backend
// servers and the platform, and routers in front of them, all on loopback. It
// imports the fakes of module standin, the router's public package and the operator
// command.
package site

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"

	"snipetally.example/router/daemon"
	"snipetally.example/standin/engine"
	"snipetally.example/standin/platform"
	"snipetally.example/standin/service"
)

const (
	routerCount         = 3
	headerTimeout       = 10 * time.Second
	engineTokenLatency  = 2 * time.Millisecond
	engineSlots         = 16
	engineBatchSlowdown = 0.03
	serviceDelay        = 3 * time.Millisecond
	engineReportDelay   = 500 * time.Millisecond
)

// Engine is a model engine of the site.
type Engine struct {
	Name    string
	Address string
	*engine.Engine
}

// Service is a plain service of the site.
type Service struct {
	Name    string
	Address string
	*service.Service
}

// Site is a deployment of routers, backend servers and platform services.
type Site struct {
	Engines     []Engine
	Services    []Service
	Table       *platform.TableService
	ObjectStore *platform.ObjectStore
	VMList      *platform.VMList

	// Routers are the routers in the order in which they were started, including
	// stopped ones. StartRouter appends to it without a lock and must not run
	// concurrently with readers.
	Routers []*daemon.Router

	// The addresses of the platform services.
	tableAddress       string
	objectStoreAddress string
	vmListAddress      string

	group   run.Group
	routers routerGroup
}

// server is a backend server that serves on a listener until the context ends.
type server interface {
	Serve(ctx context.Context, l net.Listener) error
}

// New binds every address and creates the routers; Run serves. The first router
// listens for callers on callerAddress, or on a free loopback port if that is
// empty. log receives the routers' logs.
func New(ctx context.Context, callerAddress string, log io.Writer) (*Site, error) {
	s := &Site{Table: platform.NewTableService(), ObjectStore: platform.NewObjectStore(), VMList: platform.NewVMList(0)}
	s.routers.log = log
	var err error
	if s.objectStoreAddress, err = s.serveHTTP(ctx, s.ObjectStore); err != nil {
		return nil, fmt.Errorf("start object store: %w", err)
	}
	if s.tableAddress, err = s.serveHTTP(ctx, s.Table); err != nil {
		return nil, fmt.Errorf("start table: %w", err)
	}
	if s.vmListAddress, err = s.serveHTTP(ctx, s.VMList); err != nil {
		return nil, fmt.Errorf("start VM list: %w", err)
	}
	if err := s.startBackends(ctx); err != nil {
		return nil, err
	}
	for i := range routerCount {
		address := loopback
		if i == 0 && callerAddress != "" {
			address = callerAddress
		}
		if _, err := s.newRouter(ctx, address); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// Run serves until ctx ends. The routers finish their requests in progress before
// the backend servers and the platform services stop.
func (s *Site) Run(ctx context.Context) error {
	routerCtx, cancel := context.WithCancel(ctx)
	s.group.Add(func() error {
		return s.routers.run(routerCtx)
	}, func(error) {
		cancel()
	})
	if err := s.group.Run(); err != nil {
		return fmt.Errorf("run site: %w", err)
	}
	return nil
}

// addActor adds an actor to the run group. It runs until the routers have stopped,
// even if ctx ends before.
func (s *Site) addActor(ctx context.Context, work func(context.Context) error) {
	actorCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	s.group.Add(func() error {
		return work(actorCtx)
	}, func(error) {
		cancel()
	})
}

// startBackends starts the engines and the plain services.
func (s *Site) startBackends(ctx context.Context) error {
	for _, spec := range engineSpecs() {
		e := engine.New(engine.Config{
			Models:          []string{spec.model},
			Slots:           engineSlots,
			TokenLatency:    engineTokenLatency,
			BatchSlowdown:   engineBatchSlowdown,
			ReportDelay:     engineReportDelay,
			SupportsFencing: true,
		})
		address, err := s.serveBackend(ctx, e)
		if err != nil {
			return fmt.Errorf("start engine %s: %w", spec.name, err)
		}
		s.Engines = append(s.Engines, Engine{Name: spec.name, Address: address, Engine: e})
	}
	for _, name := range ServiceNames() {
		v := service.New(service.Config{Delay: serviceDelay, ReportsStatus: true})
		address, err := s.serveBackend(ctx, v)
		if err != nil {
			return fmt.Errorf("start service %s: %w", name, err)
		}
		s.Services = append(s.Services, Service{Name: name, Address: address, Service: v})
	}
	return nil
}

// serveBackend serves a backend server on a loopback port and returns its address.
func (s *Site) serveBackend(ctx context.Context, backend server) (string, error) {
	l, err := listenLoopback(ctx)
	if err != nil {
		return "", err
	}
	s.addActor(ctx, func(ctx context.Context) error {
		return backend.Serve(ctx, l)
	})
	return l.Addr().String(), nil
}

// serveHTTP serves a platform service on a loopback port and returns its address.
func (s *Site) serveHTTP(ctx context.Context, h http.Handler) (string, error) {
	l, err := listenLoopback(ctx)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	s.group.Add(func() error {
		return server.Serve(l)
	}, func(error) {
		_ = server.Close()
	})
	return l.Addr().String(), nil
}

// loopback is the loopback address with a port that the system chooses.
const loopback = "127.0.0.1:0"

func listenLoopback(ctx context.Context) (net.Listener, error) {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", loopback)
	if err != nil {
		return nil, fmt.Errorf("listen on loopback: %w", err)
	}
	return l, nil
}

// ServedModels returns the models that the named engine serves.
func (s *Site) ServedModels(name string) []string {
	for _, e := range s.Engines {
		if e.Name == name {
			return e.Models()
		}
	}
	return nil
}

// CurlExample returns a curl command line that requests a streamed completion from
// the first router.
func (s *Site) CurlExample() string {
	return fmt.Sprintf(`curl -N http://%s/v1/chat/completions -H "Authorization: Bearer %s" `+
		`-H "Class: chat" -d '{"model":"mazungumzo","stream":true,"max_tokens":16,`+
		`"messages":[{"role":"user","content":"Habari"}]}'`, s.Routers[0].CallerAddress(), TeamKey("hotel"))
}
