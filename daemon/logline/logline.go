// Package logline writes one line of key=value pairs for each event. Lines go
// through a bounded ring to a separate goroutine, so that a slow output never
// delays a request; lines that do not fit are dropped and counted.
package logline

import (
	"bytes"
	"context"
	"io"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"

	"github.com/samphirequay/samphirequay/daemon/metrics"
	"github.com/samphirequay/samphirequay/daemon/ring"
)

// Level is the minimum level of the lines that are written.
type Level string

// The levels, from the most to the least verbose.
const (
	Debug Level = "debug"
	Info  Level = "info"
	Warn  Level = "warn"
	Error Level = "error"
)

// DefaultRingSize is the default capacity of the ring, in lines.
const DefaultRingSize = 4096

// Config of a Logger.
type Config struct {
	// Output receives the lines; writes are never concurrent.
	Output io.Writer
	// Level is the minimum level of the lines that are written. Default Info.
	Level Level
	// RingSize is the number of lines that may wait to be written. Default
	// DefaultRingSize.
	RingSize int
	// Daemon is the daemon's name, which every line contains.
	Daemon string
	// Registry, if set, receives the metrics of the ring and the count of dropped
	// routine lines.
	Registry *metrics.Registry
	// Now returns the time of a line. Default time.Now.
	Now func() time.Time
}

// Logger writes events. It is safe for concurrent use.
type Logger struct {
	lines   *ring.Ring[[]byte]
	output  io.Writer
	encoder log.Logger
	now     func() time.Time
	// routineDropped counts the dropped routine lines.
	routineDropped *metrics.Counter

	cancel context.CancelFunc
	done   chan struct{}
	once   sync.Once
}

// New starts a logger; Close stops it.
func New(cfg Config) (*Logger, error) {
	allowed, err := levelOption(cfg.Level)
	if err != nil {
		return nil, err
	}
	if cfg.RingSize == 0 {
		cfg.RingSize = DefaultRingSize
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &Logger{
		lines:  ring.New[[]byte]("log", cfg.RingSize, ring.Reject, cfg.Registry),
		output: cfg.Output,
		now:    cfg.Now,
		cancel: cancel,
		done:   make(chan struct{}),
	}
	if cfg.Registry != nil {
		l.routineDropped = cfg.Registry.Counter("log_routine_dropped", metrics.UnitCount, "Routine lines dropped because the output was too slow.")
	}
	encoder := log.With(log.NewLogfmtLogger(ringWriter{l.lines}), "ts", log.Valuer(l.timestamp), "daemon", cfg.Daemon)
	l.encoder = level.NewFilter(encoder, allowed)
	go l.write(ctx)
	return l, nil
}

func levelOption(l Level) (level.Option, error) {
	switch l {
	case Debug:
		return level.AllowDebug(), nil
	case Info, "":
		return level.AllowInfo(), nil
	case Warn:
		return level.AllowWarn(), nil
	case Error:
		return level.AllowError(), nil
	default:
		return nil, eris.Errorf("logline: unknown level %q", l)
	}
}

func (l *Logger) timestamp() any { return l.now().UTC().Format(time.RFC3339Nano) }

// Event writes one line at level info: the event's name, then the pairs.
func (l *Logger) Event(name string, kv ...any) { emit(level.Info(l.encoder), name, kv) }

// routineDivisor divides the ring's capacity: a routine line is dropped while
// more than capacity/routineDivisor lines wait. When the output is too slow,
// routine lines are thus dropped first, and lines that explain failures still
// fit.
const routineDivisor = 2

// Routine is Event for lines about normal operation, which are dropped first
// when the output is too slow.
func (l *Logger) Routine(name string, kv ...any) {
	if l.lines.Len() > l.lines.Cap()/routineDivisor {
		if l.routineDropped != nil {
			l.routineDropped.Inc()
		}
		return
	}
	l.Event(name, kv...)
}

// Debug writes one line at level debug.
func (l *Logger) Debug(name string, kv ...any) { emit(level.Debug(l.encoder), name, kv) }

// Warn writes one line at level warn.
func (l *Logger) Warn(name string, kv ...any) { emit(level.Warn(l.encoder), name, kv) }

// Error writes one line at level error.
func (l *Logger) Error(name string, kv ...any) { emit(level.Error(l.encoder), name, kv) }

// emit puts one line into the ring. The error is ignored, since the ring counts
// the lines that it drops.
func emit(to log.Logger, name string, kv []any) {
	pairs := make([]any, 0, len(kv)+2)
	pairs = append(pairs, "event", name)
	pairs = append(pairs, kv...)
	_ = to.Log(pairs...)
}

// Dropped returns the number of lines that did not fit into the ring because the
// output was too slow. It does not count routine lines dropped by Routine.
func (l *Logger) Dropped() uint64 { return l.lines.Dropped() }

// Close writes the waiting lines and stops the logger. Later lines are not
// written.
func (l *Logger) Close() {
	l.once.Do(l.cancel)
	<-l.done
}

func (l *Logger) write(ctx context.Context) {
	defer close(l.done)
	for {
		line, ok := l.lines.Take(ctx)
		if !ok {
			l.flush()
			return
		}
		l.writeLine(line)
	}
}

func (l *Logger) flush() {
	for {
		line, ok := l.lines.TryTake()
		if !ok {
			return
		}
		l.writeLine(line)
	}
}

// writeLine ignores write errors, since the log is the only place to report
// them.
func (l *Logger) writeLine(line []byte) { _, _ = l.output.Write(line) }

// ringWriter puts each line into the ring. The encoder writes a line in one call.
type ringWriter struct{ lines *ring.Ring[[]byte] }

func (w ringWriter) Write(line []byte) (int, error) {
	w.lines.Put(context.Background(), bytes.Clone(line))
	return len(line), nil
}
