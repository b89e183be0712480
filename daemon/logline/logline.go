// Package logline writes one line of key=value pairs for each event. Lines go
// through a bounded ring to a goroutine of their own, so that a slow output
// never holds up a request; what does not fit is counted and dropped.
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

// Level is the least level that is written.
type Level string

// The levels, from the most to the least talkative.
const (
	Debug Level = "debug"
	Info  Level = "info"
	Warn  Level = "warn"
	Error Level = "error"
)

// DefaultRingSize is how many lines may wait to be written.
const DefaultRingSize = 4096

// Config of a Logger.
type Config struct {
	// Output takes the lines; writes are never concurrent.
	Output io.Writer
	// Level is the least level that is written. Default Info.
	Level Level
	// RingSize is how many lines may wait. Default DefaultRingSize.
	RingSize int
	// Daemon stands on every line.
	Daemon string
	// Registry takes the depth and drops of the ring.
	Registry *metrics.Registry
	// Now gives the time of a line. Default time.Now.
	Now func() time.Time
}

// Logger writes events. It is safe for concurrent use.
type Logger struct {
	lines   *ring.Ring[[]byte]
	output  io.Writer
	encoder log.Logger
	now     func() time.Time
	// routine counts the routine lines that were left out.
	routine *metrics.Counter

	cancel context.CancelFunc
	done   chan struct{}
	once   sync.Once
}

// New starts a logger; Close ends it.
func New(cfg Config) (*Logger, error) {
	allowed, err := option(cfg.Level)
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
		l.routine = cfg.Registry.Counter("log_routine_dropped", metrics.UnitCount, "Routine lines left out because the log fell behind.")
	}
	encoder := log.With(log.NewLogfmtLogger(ringWriter{l.lines}), "ts", log.Valuer(l.timestamp), "daemon", cfg.Daemon)
	l.encoder = level.NewFilter(encoder, allowed)
	go l.write(ctx)
	return l, nil
}

func option(l Level) (level.Option, error) {
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

// routineShare of the ring is open to routine lines: when the log falls behind,
// they go first, and the lines that explain failures still find room.
const routineShare = 2

// Routine is Event for lines that tell of what went as it should.
func (l *Logger) Routine(name string, kv ...any) {
	if l.lines.Len() > l.lines.Cap()/routineShare {
		if l.routine != nil {
			l.routine.Inc()
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

// emit hands one line to the ring. The ring counts what it drops, so that no
// error is left to handle.
func emit(to log.Logger, name string, kv []any) {
	pairs := make([]any, 0, len(kv)+2)
	pairs = append(pairs, "event", name)
	pairs = append(pairs, kv...)
	_ = to.Log(pairs...)
}

// Dropped is how many lines were dropped because the output was too slow.
func (l *Logger) Dropped() uint64 { return l.lines.Dropped() }

// Close writes what waits and ends the logger. Later events are dropped.
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

// writeLine ignores a failed write: a log that cannot be written has nowhere
// to say so.
func (l *Logger) writeLine(line []byte) { _, _ = l.output.Write(line) }

// ringWriter puts each line, which the encoder writes in one call, into the ring.
type ringWriter struct{ lines *ring.Ring[[]byte] }

func (w ringWriter) Write(line []byte) (int, error) {
	w.lines.Put(context.Background(), bytes.Clone(line))
	return len(line), nil
}
