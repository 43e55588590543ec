banyan_test(test_control unit test_control.cpp LINK banyan_control)
banyan_test(test_declaration unit test_declaration.cpp LINK banyan_apps)
banyan_test(test_operators unit test_operators.cpp LINK banyan_control banyan_apps)
banyan_test(test_latency truth test_latency.cpp relay.cpp LINK banyan_control banyan_fleet)
banyan_test(test_sync truth test_sync.cpp LINK banyan_control)

# Benchmark: prints the cost of Sync calls on the leader as a JSON line.
add_executable(bench_sync bench_sync.cpp)
target_link_libraries(bench_sync PRIVATE banyan_control)
banyan_test(test_members truth test_members.cpp LINK banyan_control)
banyan_test(test_orders truth test_orders.cpp relay.cpp LINK banyan_control banyan_platform)
