# The same, one in hand on each connection.
load {
  director   = "http://127.0.0.1:18080"
  zone       = "a"
  time_limit = "3s"
}
step "flood" {
  kind        = "polls"
  flood       = 1
  proxies     = 8000
  connections = 2000
  for         = "10s"
}
