# Storms at the director's door, with troubles of the fleet amid each: what is asked is made up by proxies that carry nothing.
day {
  length   = "52s"
  director = "director.hcl"

  fleet {
    hosts      = 14
    cores      = 4
    queue      = 24
    per_cell   = 2
    proxies    = 12
    phantoms   = 1500
    list_delay = "700ms"
  }
  load {
    calls_per_second = 100
    peak             = 145
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

  trouble "storm" {
    at = "5s"
    last = "8s"
    ask = "new"
    rate = 4000
  }
  trouble "die" {
    at = "8s"
    hosts = 2
    last = "9s"
  }
  trouble "kill_director" {
    at = "16s"
    last = "1s"
  }
  trouble "storm" {
    at = "16s"
    last = "9s"
    ask = "new"
    rate = 3000
    burst = 1500
  }
  trouble "deploy" {
    at = "20s"
    hosts = 4
    batch = 2
    drain = "3s"
  }
  trouble "storm" {
    at = "28s"
    last = "8s"
    ask = "reports"
    rate = 5000
  }
  trouble "list_wrong" {
    at = "30s"
    hosts = 2
    last = "5s"
  }
  trouble "storm" {
    at = "38s"
    last = "8s"
    ask = "polls"
    rate = 8000
    burst = 1500
  }
  trouble "silent" {
    at = "39s"
    hosts = 1
    last = "7s"
  }
  trouble "stale_proxies" {
    at = "40s"
    proxies = 2
    last = "3s"
  }
}
