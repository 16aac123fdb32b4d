package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// vm is a process of the program under test.
type vm struct {
	name, settings, front, ready string
	directory                    string
	memoryMB                     int
	mutex                        sync.Mutex
	command                      *exec.Cmd
	exited                       chan struct{}
	// residentMB is the resident memory, peakMB the highest that was seen, and exceeded counts the processes that the platform has ended because of it.
	peakMB, residentMB atomic.Int64
	exceeded           atomic.Int64
	// ended is set once no process is restarted any more.
	ended  atomic.Bool
	starts int
}

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([a-z_.0-9]+)\}\}(.*?)\{\{/([a-z_.0-9]+)\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)
)

// render fills in the template of the settings as the platform does.
func render(template string, fields map[string]any) string {
	template = sectionPattern.ReplaceAllStringFunc(template, func(section string) string {
		parts := sectionPattern.FindStringSubmatch(section)
		if _, ok := fields[parts[1]]; !ok {
			return ""
		}
		return parts[2]
	})
	return valuePattern.ReplaceAllStringFunc(template, func(placeholder string) string {
		parts := valuePattern.FindStringSubmatch(placeholder)
		value := fields[parts[1]]
		if parts[2] != "" {
			data, err := json.Marshal(value)
			if err != nil {
				panic(err)
			}
			return string(data)
		}
		if value == nil {
			return ""
		}
		return fmt.Sprint(value)
	})
}

// freePort returns a port of an address that is free for TCP and UDP.
func freePort(ip string) string {
	for {
		address := net.JoinHostPort(ip, strconv.Itoa(16384+rand.IntN(16384)))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		packets, err := net.ListenPacket("udp", address)
		listener.Close()
		if err != nil {
			continue
		}
		packets.Close()
		return address
	}
}

// newVM returns a VM that is not started.
func newVM(directory, name, ip, zone string, memoryMB int, storeAddress string) *vm {
	vm := &vm{name: name, front: freePort(ip), ready: freePort(ip), directory: directory, memoryMB: memoryMB}
	peer := freePort(ip)
	_, peerPort, _ := net.SplitHostPort(peer)
	fields := map[string]any{
		"node_name": name, "region": regions[zone], "zone": zone, "bind_addresses.front": vm.front, "bind_addresses.ready": vm.ready,
		"ip": ip, "zones": regions, "bounds.grace_s": 6, "bounds.retry_budget_ratio": 0.2, "bounds.retry_budget_slack": 58,
		"bounds.budget_window_s": 10, "limits.link_mbps": "1000.0", "limits.memory_mb": memoryMB, "bounds.config_apply_ms": 3000,
		"bounds.drain_timeout_ms": 3000, "heartbeat_ms": 1200, "limits.max_fds": 4100, "internal_port_range.0": peerPort,
		"platform.address": storeAddress,
	}
	template, err := os.ReadFile("deploy/settings.yaml")
	if err != nil {
		panic(err)
	}
	vm.settings = filepath.Join(directory, name+".yaml")
	text := strings.ReplaceAll(render(string(template), fields), ip+":9464", freePort(ip))
	if err := os.WriteFile(vm.settings, []byte(text), 0o600); err != nil {
		panic(err)
	}
	return vm
}

// regions maps zones to regions.
var regions = map[string]string{"akl-a": "auckland", "wlg-a": "wellington", "chc-a": "christchurch"}

// start starts the process with the command of the deploy file.
func (vm *vm) start() error {
	vm.starts++
	log, err := os.Create(filepath.Join(vm.directory, fmt.Sprintf("%s-%d.log", vm.name, vm.starts)))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command("target/sycamorewall", "serve")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + vm.directory, "SYCAMOREWALL_SETTINGS=" + vm.settings}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	vm.mutex.Lock()
	vm.command, vm.exited = command, exited
	vm.mutex.Unlock()
	tasks.Go(func() {
		defer close(exited)
		_ = command.Wait()
	})
	tasks.Go(func() { vm.watchMemory(command.Process.Pid, exited) })
	return nil
}

// watchMemory ends the process once it exceeds the memory of its machine, and starts it again, as the platform does.
func (vm *vm) watchMemory(pid int, exited <-chan struct{}) {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-exited:
			return
		case <-ticker.C:
		}
		resident := residentMB(pid)
		vm.residentMB.Store(resident)
		if resident > vm.peakMB.Load() {
			vm.peakMB.Store(resident)
		}
		if resident > int64(vm.memoryMB) {
			vm.exceeded.Add(1)
			vm.signal(syscall.SIGKILL)
			<-exited
			time.Sleep(restartDelay)
			if !vm.ended.Load() {
				_ = vm.start()
			}
			return
		}
	}
}

// restartDelay is how long after its end the platform starts a process again.
const restartDelay = 500 * time.Millisecond

// residentMB returns the resident memory of a process without that of files, in units of 2^20 bytes.
func residentMB(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), "RssAnon:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kilobytes, _ := strconv.ParseInt(fields[0], 10, 64)
	return kilobytes >> 10
}

func (vm *vm) signal(signal syscall.Signal) {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	if vm.command != nil {
		_ = vm.command.Process.Signal(signal)
	}
}

// awaitReady waits until the VM says that it is ready.
func (vm *vm) awaitReady(patience time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(patience); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + vm.ready + "/v1/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
