package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Serves HTTP on a free loopback port, each request in a thread of its own. */
final class HttpEndpoint {

  /** A response; a null response closes the connection without one. */
  record Response(int status, byte[] body) {
    static Response json(int status, String body) {
      return new Response(status, body.getBytes(java.nio.charset.StandardCharsets.UTF_8));
    }
  }

  /** A request; {@code instance} is the incarnation that the caller addresses, or null. */
  record Request(String method, String path, String query, byte[] body, String instance) {}

  interface Handler {
    Response handle(Request request) throws Exception;
  }

  private final HttpServer server;
  private final ExecutorService threads =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
          });

  HttpEndpoint(Handler handler) throws IOException {
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 512);
    server.setExecutor(threads);
    server.createContext("/", exchange -> serve(exchange, handler));
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  void stop() {
    server.stop(0);
    threads.shutdownNow();
  }

  private static void serve(HttpExchange exchange, Handler handler) throws IOException {
    try (exchange) {
      Request request =
          new Request(
              exchange.getRequestMethod(),
              exchange.getRequestURI().getPath(),
              String.valueOf(exchange.getRequestURI().getRawQuery()),
              exchange.getRequestBody().readAllBytes(),
              exchange.getRequestHeaders().getFirst("X-Expected-Instance"));
      Response response = handler.handle(request);
      if (response == null) {
        return;
      }
      int length = response.body().length;
      exchange.sendResponseHeaders(response.status(), length == 0 ? -1 : length);
      if (length > 0) {
        exchange.getResponseBody().write(response.body());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      throw e;
    } catch (Exception e) {
      throw new IOException(e);
    }
  }
}
