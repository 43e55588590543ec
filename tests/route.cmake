banyan_test(test_route decisions test_route.cpp LINK banyan_decide)
banyan_test(test_shift decisions test_shift.cpp LINK banyan_decide)
banyan_test(test_pacing decisions test_pacing.cpp LINK banyan_decide)

# Benchmark: run with `scripts/bench decisions`.
add_executable(bench_decisions bench_decisions.cpp bench_model.cpp bench_model_requests.cpp)
target_link_libraries(bench_decisions PRIVATE banyan_decide)
