# Three directors share the slices. Each kind of trouble that takes a director, its way to the store of leases, or the
# store itself, on top of hosts that die and are replaced.
day {
  length   = "88s"
  director = "director.hcl"

  fleet {
    directors  = 3
    hosts      = 14
    cores      = 4
    queue      = 24
    per_cell   = 2
    proxies    = 9
    list_delay = "700ms"
  }
  load {
    calls_per_second = 90
    peak             = 120
    rise_over        = "8s"
    keys             = 3000
  }
  route "formula-read" {
    share = 0.72
    work  = "220ms"
  }
  route "batch-note" {
    share = 0.28
    work  = "220ms"
  }

  trouble "die" {
    at    = "3s"
    hosts = 2
    last  = "14s"
  }
  trouble "kill_director" {
    at       = "5s"
    director = 2
    last     = "4s"
  }
  trouble "stop_director" {
    at       = "14s"
    director = 1
    last     = "3s"
  }
  trouble "deploy" {
    at    = "20s"
    hosts = 6
    batch = 2
    drain = "3s"
  }
  trouble "pause_director" {
    at       = "23s"
    director = 3
    last     = "10s"
  }
  trouble "cut_director" {
    at       = "38s"
    director = 1
    last     = "5s"
  }
  trouble "cut_peer" {
    at       = "13s"
    director = 3
    last     = "9s"
  }
  trouble "restart_proxies" {
    at      = "46s"
    proxies = 4
    last    = "1s"
  }
  trouble "flap_leases" {
    at       = "48s"
    director = 2
    last     = "5s"
  }
  trouble "leases_away" {
    at   = "57s"
    last = "6s"
  }
  trouble "silent" {
    at    = "58s"
    hosts = 1
    last  = "10s"
  }
  trouble "lossy_director" {
    at       = "68s"
    director = 3
    last     = "6s"
    part     = 0.2
  }
  trouble "stale_proxies" {
    at      = "70s"
    proxies = 2
    last    = "6s"
  }
  trouble "kill_director" {
    at       = "78s"
    director = 1
    last     = "2s"
  }
  trouble "kill_director" {
    at       = "78s"
    director = 2
    last     = "2s"
  }
  trouble "kill_director" {
    at       = "78s"
    director = 3
    last     = "2s"
  }
}
