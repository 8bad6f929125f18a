# New polls of 4,000 proxies, one in hand each; with the director pinned to a busy core.
load {
  director   = "http://127.0.0.1:18080"
  zone       = "a"
  time_limit = "2s"
}
step "half" {
  kind        = "new"
  rate        = 2500
  proxies     = 4000
  connections = 4000
  alone       = true
  for         = "5s"
}
step "once" {
  kind        = "new"
  rate        = 5000
  proxies     = 4000
  connections = 4000
  alone       = true
  for         = "5s"
}
step "twice" {
  kind        = "new"
  rate        = 10000
  proxies     = 4000
  connections = 4000
  alone       = true
  for         = "5s"
}
step "four" {
  kind        = "new"
  rate        = 20000
  proxies     = 4000
  connections = 4000
  alone       = true
  for         = "5s"
}
step "ten" {
  kind        = "new"
  rate        = 50000
  proxies     = 4000
  connections = 4000
  alone       = true
  for         = "5s"
}
