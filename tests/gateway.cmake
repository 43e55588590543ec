banyan_test(test_http unit test_http.cpp response_cases.cpp LINK banyan_net)
banyan_test(test_gateway unit test_gateway.cpp gateway_fixture.cpp LINK banyan_gateway)
banyan_test(test_gateway_responses unit test_gateway_responses.cpp gateway_fixture.cpp response_cases.cpp LINK banyan_gateway)
banyan_test(test_limits unit test_limits.cpp gateway_fixture.cpp LINK banyan_gateway banyan_control)
banyan_test(test_blocking unit test_blocking.cpp gateway_fixture.cpp LINK banyan_gateway)
banyan_test(test_restarts unit test_restarts.cpp gateway_fixture.cpp LINK banyan_gateway banyan_control)
banyan_test(test_crashes decisions test_crashes.cpp LINK banyan_gateway banyan_control)
banyan_test(test_hostlimits decisions test_hostlimits.cpp LINK banyan_decide)
banyan_test(test_placement decisions test_placement.cpp LINK banyan_decide)
banyan_test(test_server unit test_server.cpp LINK banyan_net asio_headers)
banyan_test(test_platform unit test_platform.cpp LINK banyan_platform)
set_tests_properties(test_hostlimits PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204 max_success=100")

# Runs real processes with a fixed seed, for 8 s under injected faults and then without. Longer runs and other seeds are
# started by hand, see DEVELOPERS.md.
add_test(NAME soak_short COMMAND ${CMAKE_SOURCE_DIR}/tests/soak.py --seed 1 --seconds 8
                                 --daemon $<TARGET_FILE:banyanledged>)
set_tests_properties(soak_short PROPERTIES LABELS processes TIMEOUT 180)
banyan_test(test_stops unit test_stops.cpp LINK banyan_apps banyan_decide)
add_test(NAME stop_times COMMAND ${CMAKE_SOURCE_DIR}/tests/stop_times.py --seed 1 --daemon $<TARGET_FILE:banyanledged>)
set_tests_properties(stop_times PROPERTIES LABELS processes TIMEOUT 120)
