// Package site lays out a small deployment in one process: stand-ins for the
// backend servers and the platform, and routers before them, all on loopback.
// It imports the stand-ins and the router's public package.
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
	routers      = 3
	headerWait   = 10 * time.Second
	enginePace   = 2 * time.Millisecond
	engineSlots  = 16
	slowdown     = 0.03
	serviceDelay = 3 * time.Millisecond
	loadLag      = 500 * time.Millisecond
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

// Site is the whole deployment.
type Site struct {
	Engines     []Engine
	Services    []Service
	Table       *platform.TableService
	ObjectStore *platform.ObjectStore
	VMList      *platform.VMList

	// Routers are the routers that were started, in their order. Start adds to
	// it and must not run at the same time as what reads it.
	Routers []*daemon.Router

	// table and list are the addresses of the platform's services.
	table   string
	objects string
	list    string

	group run.Group
	fleet fleet
}

// server serves on a listener until the context ends.
type server interface {
	Serve(ctx context.Context, l net.Listener) error
}

// New binds every address. Listen is the first router's address for callers;
// log receives the routers' logs.
func New(ctx context.Context, listen string, log io.Writer) (*Site, error) {
	s := &Site{Table: platform.NewTableService(), ObjectStore: platform.NewObjectStore(), VMList: platform.NewVMList(0)}
	s.fleet.log = log
	var err error
	if s.objects, err = s.serveHTTP(ctx, s.ObjectStore); err != nil {
		return nil, fmt.Errorf("start object store: %w", err)
	}
	if s.table, err = s.serveHTTP(ctx, s.Table); err != nil {
		return nil, fmt.Errorf("start table: %w", err)
	}
	if s.list, err = s.serveHTTP(ctx, s.VMList); err != nil {
		return nil, fmt.Errorf("start VM list: %w", err)
	}
	if err := s.startBackends(ctx); err != nil {
		return nil, err
	}
	for i := range routers {
		caller := loopback
		if i == 0 && listen != "" {
			caller = listen
		}
		if _, err := s.newRouter(ctx, caller); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// Run serves until ctx ends. Routers finish their requests in progress before
// the backend servers and the platform end.
func (s *Site) Run(ctx context.Context) error {
	stop, cancel := context.WithCancel(ctx)
	s.group.Add(func() error {
		return s.fleet.run(stop)
	}, func(error) {
		cancel()
	})
	if err := s.group.Run(); err != nil {
		return fmt.Errorf("run site: %w", err)
	}
	return nil
}

// add adds an actor that runs until the routers have ended.
func (s *Site) add(ctx context.Context, work func(context.Context) error) {
	own, cancel := context.WithCancel(context.WithoutCancel(ctx))
	s.group.Add(func() error {
		return work(own)
	}, func(error) {
		cancel()
	})
}

func (s *Site) startBackends(ctx context.Context) error {
	for _, spec := range engineSpecs() {
		e := engine.New(engine.Config{
			Models:          []string{spec.model},
			Slots:           engineSlots,
			TokenLatency:    enginePace,
			BatchSlowdown:   slowdown,
			ReportDelay:     loadLag,
			SupportsFencing: true,
		})
		address, err := s.serve(ctx, e)
		if err != nil {
			return fmt.Errorf("start engine %s: %w", spec.name, err)
		}
		s.Engines = append(s.Engines, Engine{Name: spec.name, Address: address, Engine: e})
	}
	for _, name := range ServiceNames() {
		v := service.New(service.Config{Delay: serviceDelay, ReportsStatus: true})
		address, err := s.serve(ctx, v)
		if err != nil {
			return fmt.Errorf("start service %s: %w", name, err)
		}
		s.Services = append(s.Services, Service{Name: name, Address: address, Service: v})
	}
	return nil
}

func (s *Site) serve(ctx context.Context, v server) (string, error) {
	l, err := listenLoopback(ctx)
	if err != nil {
		return "", err
	}
	s.add(ctx, func(ctx context.Context) error {
		return v.Serve(ctx, l)
	})
	return l.Addr().String(), nil
}

func (s *Site) serveHTTP(ctx context.Context, h http.Handler) (string, error) {
	l, err := listenLoopback(ctx)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerWait}
	s.group.Add(func() error {
		return server.Serve(l)
	}, func(error) {
		_ = server.Close()
	})
	return l.Addr().String(), nil
}

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

// CurlExample returns a command line that calls the first router.
func (s *Site) CurlExample() string {
	return fmt.Sprintf(`curl -N http://%s/v1/chat/completions -H "Authorization: Bearer %s" `+
		`-H "Class: chat" -d '{"model":"mazungumzo","stream":true,"max_tokens":16,`+
		`"messages":[{"role":"user","content":"Habari"}]}'`, s.Routers[0].CallerAddress(), TeamKey("hotel"))
}
